#include "dutymodel.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <random>

using namespace std::chrono_literals;
using namespace DutyModel;

namespace {

/// All single faults, at steps of 250 ms.
std::vector<Fault> allFaults() {
  std::vector<Fault> out;
  for (auto kind :
       {FaultKind::Pause, FaultKind::Restart, FaultKind::Stop,
        FaultKind::HandOver, FaultKind::StoreAway, FaultKind::AnswersLost,
        FaultKind::LateEffects, FaultKind::Alone})
    for (size_t vm = 0; vm <= VmCount; ++vm)
      for (auto at = 0ms; at < 8s; at += 250ms)
        for (auto length : {400ms, 1000ms, 2500ms, 6000ms})
          out.push_back({kind, vm, at, length});
  return out;
}

/// How many combinations a search plays; the environment asks for more.
int plays(int usual) {
  const char *times = std::getenv("HICKORY_SEARCH");
  return usual * (times ? std::max(1, std::atoi(times)) : 1);
}

struct Search {
  Setup It;
  std::vector<Fault> All = allFaults();
  std::mt19937_64 Random{1};
  size_t Broken = 0;
  std::string First;

  void tryOut(const std::vector<Fault> &faults) {
    Result result = play(It, faults);
    if (result.Broken.empty())
      return;
    if (Broken++ == 0)
      First = result.Broken + ": " + describe(faults);
  }
  void tryEach() {
    for (const Fault &it : All)
      tryOut({it});
  }
  /// So many faults at a time, drawn by seed.
  void tryTogether(size_t faults, int times) {
    std::uniform_int_distribution<size_t> pick(0, All.size() - 1);
    for (int i = 0; i < times; ++i) {
      std::vector<Fault> drawn;
      for (size_t n = 0; n < faults; ++n)
        drawn.push_back(All[pick(Random)]);
      tryOut(drawn);
    }
  }
};

/// Before engines that ignore tokens.
struct UncheckedSearch : Search {};

} // namespace

TEST_CASE("duty without faults gives orders all the time") {
  Result result = play({}, {});
  CHECK(result.Broken.empty());
  CHECK(result.LongestGap < 1s);
}

TEST_CASE_FIXTURE(UncheckedSearch, "engines that ignore tokens get no turns of "
                                   "two holders, whatever single fault "
                                   "strikes") {
  tryEach();
  CHECK_MESSAGE(Broken == 0, First);
}

TEST_CASE_FIXTURE(UncheckedSearch, "engines that ignore tokens get no turns of "
                                   "two holders, whatever pair of faults "
                                   "strikes") {
  tryTogether(2, plays(8'000));
  CHECK_MESSAGE(Broken == 0, First);
}

TEST_CASE_FIXTURE(UncheckedSearch, "engines that ignore tokens get no turns of "
                                   "two holders, whatever three faults "
                                   "strike") {
  tryTogether(3, plays(8'000));
  CHECK_MESSAGE(Broken == 0, First);
}

TEST_CASE_FIXTURE(UncheckedSearch,
                  "search for turns finds some where former holders do not "
                  "pause") {
  It.Agreed.TurnPause = 0ms;
  tryTogether(2, 2'000);
  CHECK(Broken > 0);
}

TEST_CASE_FIXTURE(UncheckedSearch,
                  "search for turns finds some where new holders do not pause "
                  "after an outage") {
  It.Agreed.AfterOutage = 0ms;
  tryTogether(3, 8'000);
  CHECK(Broken > 0);
}

TEST_CASE("duty that a stopped holder has given up is taken without a pause") {
  Result result = play({}, {{FaultKind::Stop, 0, 2s, 6s}});
  CHECK(result.Broken.empty());
  CHECK(result.LongestGap < 1500ms);
}

TEST_CASE("store that is away for all does not keep the holder from giving "
          "orders") {
  Result result = play({}, {{FaultKind::StoreAway, VmCount, 2s, 6s}});
  CHECK(result.Broken.empty());
  // Until its lease has run out, and each has missed the store for 1.5 s.
  CHECK(result.LongestGap < 2s);
}

TEST_CASE("holder of before the outage goes on after it") {
  Result result = play({}, {{FaultKind::StoreAway, VmCount, 2s, 6s}});
  CHECK(result.Broken.empty());
  CHECK(result.Orders > 400);
}
