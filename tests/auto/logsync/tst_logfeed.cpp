#include "codec/codec.h"
#include "daemon/logreaders.h"
#include "daemon/peerdutylog.h"
#include "logsync/logsync.h"

#include <doctest/doctest.h>
#include <future>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace Daemon::Internal;
using namespace std::chrono_literals;

namespace {

using Members = std::vector<Peers::MemberView>;

Members fleetOf(size_t n, size_t domains) {
  Members all(n);
  for (size_t i = 0; i < n; ++i) {
    all[i].Name = "d" + std::to_string(i);
    all[i].FailureDomain = "f" + std::to_string(i % domains);
  }
  return all;
}

std::optional<std::string> feeder(const Members &all, size_t i) {
  Members others = all;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
  return feederOf(all[i].Name, all[i].FailureDomain, others);
}

/// The platform's log; reads wait for records.
struct SharedLog {
  std::mutex Mutex;
  std::condition_variable Changed;
  std::vector<std::string> Records;
  uint64_t First = 0;

  void append() {
    std::lock_guard lock(Mutex);
    Records.push_back(History::encodeRecords(
        {History::MemberChange{Utils::randomId(), History::MemberAction::Join,
                               "d9", "127.0.0.1", 1, ""}}));
    Changed.notify_all();
  }
  Environment::LogService service(std::atomic<int> &waits) {
    Environment::LogService log;
    log.Append = [](const std::string &) -> Utils::Outcome<uint64_t> {
      return Utils::failure(Utils::Errc::Unavailable, "read only");
    };
    log.Read = [this, &waits](uint64_t from, uint32_t max, uint32_t waitMs) {
      waits += waitMs > 0 ? 1 : 0;
      std::unique_lock lock(Mutex);
      Changed.wait_for(lock, Utils::Milliseconds(waitMs),
                       [&] { return from < Records.size(); });
      Environment::LogRead read;
      read.FirstRetained = First;
      read.NextOffset = Records.size();
      for (uint64_t i = from; i < Records.size() && i < from + max; ++i)
        read.Entries.push_back({i, Records[i]});
      return Utils::Outcome<Environment::LogRead>(read);
    };
    return log;
  }
};

/// A daemon's reads, with a feeder or without.
struct Reader {
  Reader(SharedLog &log, Peers::Rpc rpc, bool fed) : IsFed(fed) {
    PeerLogSources sources;
    sources.Log = log.service(Waits);
    rpc.Handle = [](const std::string &, const Peers::Handler &) {};
    rpc.HandleLater = [this](const std::string &, Peers::LaterHandler it) {
      Follow = std::move(it);
    };
    sources.Rpc = std::move(rpc);
    sources.Candidates = [] { return std::vector<std::string>(); };
    sources.Feeder = [this] {
      return IsFed ? std::optional<std::string>("feeder") : std::nullopt;
    };
    Reads = std::make_unique<PeerLog>(std::move(sources), Store, Contact,
                                      Utils::Clock());
    Reads->serve();
    Tail = std::make_unique<LogSync::Follower>(Reads->service(), Store,
                                               Utils::Clock());
    Tail->start();
  }
  ~Reader() {
    Reads->stop();
    Tail->stop();
  }
  bool reaches(uint64_t next) {
    return Store.waitUntil(
        [&](const History::State &it) { return it.NextOffset >= next; },
        Utils::Clock().Now() + 20s);
  }

  std::atomic<bool> IsFed;
  std::atomic<int> Waits = 0;
  History::StateStore Store;
  LogContact Contact{Utils::Clock()};
  Peers::LaterHandler Follow;
  std::unique_ptr<PeerLog> Reads;
  std::unique_ptr<LogSync::Follower> Tail;
};

/// Calls of the fed daemon go to the handler of the one that feeds it.
Peers::Rpc callsTo(Reader &feeder, std::atomic<int> &answered) {
  Peers::Rpc rpc;
  rpc.Call = [&](const std::string &, const std::string &,
                 const std::string &payload, Utils::TimePoint deadline) {
    auto got = std::make_shared<std::promise<Utils::Outcome<std::string>>>();
    auto result = got->get_future();
    feeder.Follow("fed", payload, [got](auto it) { got->set_value(it); });
    if (result.wait_until(deadline) != std::future_status::ready)
      return Utils::Outcome<std::string>(
          Utils::failure(Utils::Errc::UnknownResult, "silent"));
    ++answered;
    return result.get();
  };
  return rpc;
}

void yieldUntilSet(const std::function<bool()> &holds) {
  auto end = Utils::Clock().Now() + 20s;
  while (!holds() && Utils::Clock().Now() < end)
    std::this_thread::yield();
  REQUIRE(holds());
}

} // namespace

TEST_CASE("each failure domain has its readers, and they feed all others") {
  CHECK(rc::check([](uint8_t size, uint8_t spread) {
    size_t domains = spread % 7 + size_t{1};
    Members all = fleetOf(size + size_t{1}, domains);
    std::map<std::string, std::set<std::string>> readers;
    std::map<std::string, size_t> sizes;
    for (size_t i = 0; i < all.size(); ++i) {
      ++sizes[all[i].FailureDomain];
      if (!feeder(all, i))
        readers[all[i].FailureDomain].insert(all[i].Name);
    }
    for (const auto &[domain, n] : sizes)
      RC_ASSERT(readers[domain].size() == logReadersIn(n));
    for (size_t i = 0; i < all.size(); ++i)
      if (auto it = feeder(all, i))
        RC_ASSERT(readers[all[i].FailureDomain].count(*it) == 1);
  }));
}

TEST_CASE("readers of 420 daemons share the others, and none feeds without the "
          "log") {
  Members all = fleetOf(420, 5);
  std::map<std::string, size_t> fed;
  for (size_t i = 0; i < all.size(); ++i)
    if (auto it = feeder(all, i))
      ++fed[*it];
  CHECK(fed.size() == 45);
  for (const auto &[name, n] : fed)
    CHECK(n <= 20);
  for (Peers::MemberView &it : all)
    if (fed.count(it.Name))
      it.LogLostSince = Utils::Clock().Now();
  for (size_t i = 0; i < all.size(); ++i)
    CHECK_FALSE(feeder(all, i));
}

TEST_CASE("fed daemon has the feeder's records, asks the log for its end alone "
          "and knows what it retains") {
  SharedLog log;
  Reader first(log, {}, false);
  yieldUntilSet([&] { return first.Waits > 1; });
  std::atomic<int> answered = 0;
  Reader fed(log, callsTo(first, answered), true);
  yieldUntilSet([&] { return answered > 0; });
  int waits = fed.Waits;
  for (uint64_t i = 1; i <= 20; ++i) {
    log.append();
    REQUIRE(fed.reaches(i));
  }
  {
    std::lock_guard lock(log.Mutex);
    log.First = 5;
  }
  yieldUntilSet([&] {
    auto own = fed.Contact.own(20);
    return own && own->End == 20 && fed.Tail->firstRetained() == 5;
  });
  CHECK(fed.Waits == waits);
  CHECK_FALSE(fed.Contact.lostSince());
}

TEST_CASE("daemon whose feeder does not answer reads the log itself") {
  SharedLog log;
  Peers::Rpc rpc;
  rpc.Call = [](const std::string &, const std::string &, const std::string &,
                Utils::TimePoint) {
    return Utils::Outcome<std::string>(
        Utils::failure(Utils::Errc::UnknownResult, "silent"));
  };
  Reader fed(log, rpc, true);
  yieldUntilSet([&] { return fed.Waits > 0; });
  log.append();
  CHECK(fed.reaches(1));
}

TEST_CASE("daemon that is fed itself feeds nobody") {
  SharedLog log;
  Reader first(log, {}, false);
  yieldUntilSet([&] { return first.Waits > 1; });
  std::atomic<int> answered = 0;
  Reader fed(log, callsTo(first, answered), false);
  yieldUntilSet([&] { return fed.Waits > 1; });
  fed.IsFed = true;
  yieldUntilSet([&] { return answered > 0; });
  std::optional<Utils::Outcome<std::string>> got;
  fed.Follow("other", Codec::encode(uint64_t{0}),
             [&](Utils::Outcome<std::string> it) { got = std::move(it); });
  REQUIRE(got);
  CHECK_FALSE(got->ok());
}
