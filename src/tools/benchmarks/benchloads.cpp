/// Cost and age of load readings at several fleet sizes, in logical time: every
/// half second each daemon reads the engines that it watches and asks another
/// at random for its board. Prints one line for each size.
#include "daemon/loadvector.h"
#include "routing/loadboard.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <random>

namespace {

constexpr Utils::Milliseconds Period(500);
constexpr int Rounds = 60;
/// Rounds until the boards are filled.
constexpr int WarmUp = 30;
constexpr size_t Watchers = 2;
constexpr uint64_t Seed = 1;

struct Size {
  size_t Daemons;
  size_t Engines;
};
constexpr Size Sizes[] = {{8, 12}, {32, 48}, {64, 96}, {210, 300}, {420, 600}};

double cpuSeconds() { return double(std::clock()) / CLOCKS_PER_SEC; }

struct Fleet {
  explicit Fleet(const Size &size) : Of(size), Watched(size.Daemons) {
    std::vector<std::string> names;
    names.reserve(size.Daemons);
    Boards.reserve(size.Daemons);
    for (size_t i = 0; i < size.Daemons; ++i) {
      names.push_back("daemon-" + std::to_string(i));
      Boards.push_back(std::make_unique<Routing::LoadBoard>());
    }
    for (size_t k = 0; k < size.Engines; ++k)
      Names.push_back(engine(k));
    double begin = cpuSeconds();
    for (size_t i = 0; i < size.Daemons; ++i) {
      std::vector<std::string> others = names;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
      for (size_t k = 0; k < size.Engines; ++k)
        if (Routing::isWatcher(engine(k), names[i], others, Watchers))
          Watched[i].push_back(k);
    }
    WatchS = (cpuSeconds() - begin) / double(size.Daemons);
  }
  static std::string engine(size_t k) { return "engine-" + std::to_string(k); }

  /// Each daemon in turn reads and asks, at its own time within the period.
  void round() {
    for (size_t i = 0; i < Of.Daemons; ++i) {
      Now += Utils::TimePoint::duration(Period) / Of.Daemons;
      for (size_t k : Watched[i])
        Boards[i]->note(engine(k), {uint32_t(Random() % 64), Now});
      size_t other = (i + 1 + Random() % (Of.Daemons - 1)) % Of.Daemons;
      std::string bytes =
          Daemon::Internal::encodeLoads(Names, *Boards[other], Now);
      Bytes += bytes.size();
      Daemon::Internal::takeLoads(*Boards[i], Names, bytes, Now);
    }
  }
  std::vector<double> agesS() const {
    std::vector<double> ages;
    for (const auto &board : Boards)
      for (size_t k = 0; k < Of.Engines; ++k) {
        auto reading = board->reading(engine(k));
        std::chrono::duration<double> age =
            reading ? Now - reading->At : Utils::TimePoint::duration::max();
        ages.push_back(age.count());
      }
    std::sort(ages.begin(), ages.end());
    return ages;
  }

  Size Of;
  std::vector<std::string> Names;
  std::vector<std::vector<size_t>> Watched;
  std::vector<std::unique_ptr<Routing::LoadBoard>> Boards;
  std::mt19937_64 Random{Seed};
  Utils::TimePoint Now{std::chrono::hours(1)};
  size_t Bytes = 0;
  double WatchS = 0;
};

} // namespace

int main() {
  for (const Size &size : Sizes) {
    Fleet fleet(size);
    for (int i = 0; i < WarmUp; ++i)
      fleet.round();
    fleet.Bytes = 0;
    double begin = cpuSeconds();
    for (int i = 0; i < Rounds; ++i)
      fleet.round();
    double daemonRounds = double(Rounds) * double(size.Daemons);
    double perSecond = 1000.0 / double(Period.count());
    auto ages = fleet.agesS();
    std::printf("daemons=%zu engines=%zu bytes_per_s_received=%.0f "
                "board_us_per_s=%.0f watch_us_per_s=%.0f "
                "watched_per_daemon=%.1f age_p50_s=%.2f age_p95_s=%.2f "
                "age_max_s=%.2f\n",
                size.Daemons, size.Engines,
                double(fleet.Bytes) / daemonRounds * perSecond,
                (cpuSeconds() - begin) / daemonRounds * perSecond * 1e6,
                fleet.WatchS * perSecond * 1e6,
                double(size.Engines * Watchers) / double(size.Daemons),
                ages[ages.size() / 2], ages[ages.size() * 95 / 100],
                ages.back());
  }
  return 0;
}
