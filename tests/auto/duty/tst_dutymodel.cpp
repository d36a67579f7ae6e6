#include "dutymodel.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <random>

using namespace std::chrono_literals;
using namespace DutyModel;

namespace {

/// All single faults, at intervals of 250 ms.
std::vector<Fault> allFaults() {
  std::vector<Fault> out;
  for (auto kind : {FaultKind::Pause, FaultKind::Restart, FaultKind::Stop,
                    FaultKind::HandOver, FaultKind::StoreUnreachable,
                    FaultKind::ResponsesLost, FaultKind::DelayedWrites,
                    FaultKind::Isolated})
    for (size_t vm = 0; vm <= VmCount; ++vm)
      for (auto at = 0ms; at < 8s; at += 250ms)
        for (auto length : {400ms, 1000ms, 2500ms, 6000ms})
          out.push_back({kind, vm, at, length});
  return out;
}

/// Number of combinations that a search runs; HICKORY_SEARCH multiplies it.
int combinations(int usual) {
  const char *times = std::getenv("HICKORY_SEARCH");
  return usual * (times ? std::max(1, std::atoi(times)) : 1);
}

struct Search {
  Setup Config;
  std::vector<Fault> All = allFaults();
  std::mt19937_64 Random{1};
  size_t Violations = 0;
  std::string FirstViolation;

  void runOne(const std::vector<Fault> &faults) {
    Result result = simulate(Config, faults);
    if (result.Violation.empty())
      return;
    if (Violations++ == 0)
      FirstViolation = result.Violation + ": " + describe(faults);
  }
  void runEach() {
    for (const Fault &it : All)
      runOne({it});
  }
  /// Runs random combinations of `faults` faults.
  void runCombinations(size_t faults, int times) {
    std::uniform_int_distribution<size_t> pick(0, All.size() - 1);
    for (int i = 0; i < times; ++i) {
      std::vector<Fault> drawn;
      for (size_t n = 0; n < faults; ++n)
        drawn.push_back(All[pick(Random)]);
      runOne(drawn);
    }
  }
};

/// Search with engines that ignore fencing tokens.
struct UncheckedSearch : Search {};

/// Search in which the store comes back from a copy that is up to 2.5 s older.
struct OlderCopySearch : UncheckedSearch {
  OlderCopySearch() {
    for (auto at = 25ms; at < 8s; at += 175ms)
      for (auto length : {100ms, 400ms, 1000ms, 2500ms})
        Copies.push_back({FaultKind::OlderCopy, 0, at, length});
  }
  /// Runs each copy with `faults` random faults, `times` times.
  void runCopies(size_t faults, int times) {
    std::uniform_int_distribution<size_t> pick(0, All.size() - 1);
    for (int i = 0; i < times; ++i)
      for (const Fault &copy : Copies) {
        std::vector<Fault> drawn{copy};
        for (size_t n = 0; n < faults; ++n)
          drawn.push_back(All[pick(Random)]);
        runOne(drawn);
      }
  }
  std::vector<Fault> Copies;
};

} // namespace

TEST_CASE("holder without faults gives orders without a gap") {
  Result result = simulate({}, {});
  CHECK(result.Violation.empty());
  CHECK(result.LongestGap < 1s);
}

TEST_CASE_FIXTURE(UncheckedSearch,
                  "engines that ignore fencing tokens get no interleaved "
                  "orders of two holders under any single fault") {
  runEach();
  CHECK_MESSAGE(Violations == 0, FirstViolation);
}

TEST_CASE_FIXTURE(UncheckedSearch,
                  "engines that ignore fencing tokens get no interleaved "
                  "orders of two holders under pairs of faults") {
  runCombinations(2, combinations(8'000));
  CHECK_MESSAGE(Violations == 0, FirstViolation);
}

TEST_CASE_FIXTURE(UncheckedSearch,
                  "engines that ignore fencing tokens get no interleaved "
                  "orders of two holders under three faults") {
  runCombinations(3, combinations(8'000));
  CHECK_MESSAGE(Violations == 0, FirstViolation);
}

TEST_CASE_FIXTURE(
    UncheckedSearch,
    "search finds interleaved orders if former holders have no cool-down") {
  Config.Timing.ReacquirePause = 0ms;
  runCombinations(2, 2'000);
  CHECK(Violations > 0);
}

TEST_CASE_FIXTURE(UncheckedSearch,
                  "search finds interleaved orders if new holders have no "
                  "cool-down after an outage") {
  Config.Timing.OutageCooldown = 0ms;
  runCombinations(3, 8'000);
  CHECK(Violations > 0);
}

TEST_CASE("duty released by a stopping holder is claimed without a pause") {
  Result result = simulate({}, {{FaultKind::Stop, 0, 2s, 6s}});
  CHECK(result.Violation.empty());
  CHECK(result.LongestGap < 1500ms);
}

TEST_CASE("holder gives orders while the store is unreachable for all VMs") {
  Result result =
      simulate({}, {{FaultKind::StoreUnreachable, VmCount, 2s, 6s}});
  CHECK(result.Violation.empty());
  // The gap lasts until the lease has expired and every VM has failed to reach
  // the store for 1.5 s.
  CHECK(result.LongestGap < 2s);
}

TEST_CASE("holder from before a store outage continues after it") {
  Result result =
      simulate({}, {{FaultKind::StoreUnreachable, VmCount, 2s, 6s}});
  CHECK(result.Violation.empty());
  CHECK(result.Orders > 400);
}

// The copy may hold a lower token than one that engines have seen, and a
// release that a claim has followed.
TEST_CASE_FIXTURE(OlderCopySearch,
                  "engines get no token of two holders, no lower one and no "
                  "interleaved orders when the store comes back older") {
  runCopies(0, 1);
  CHECK_MESSAGE(Violations == 0, FirstViolation);
}

TEST_CASE_FIXTURE(OlderCopySearch,
                  "engines get no token of two holders, no lower one and no "
                  "interleaved orders when the store comes back older amid "
                  "another fault") {
  runCopies(1, combinations(40));
  CHECK_MESSAGE(Violations == 0, FirstViolation);
}

TEST_CASE_FIXTURE(OlderCopySearch,
                  "engines get no token of two holders, no lower one and no "
                  "interleaved orders when the store comes back older amid "
                  "two other faults") {
  runCopies(2, combinations(40));
  CHECK_MESSAGE(Violations == 0, FirstViolation);
}
