#include "logsync/follower.h"
#include "logsync/backoff.h"
#include "logsync/logsyncconstants.h"
#include "logsync/snapshotreader.h"

namespace LogSync {

namespace C = Constants;

Follower::Follower(Environment::LogService log, History::StateStore &store,
                   Utils::Clock clock)
    : Log(std::move(log)), Store(store), Clock(std::move(clock)) {}

Follower::~Follower() { stop(); }

void Follower::start() {
  Thread = std::thread([this] { run(); });
}

void Follower::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

Utils::TimePoint Follower::lastContact() const {
  return Utils::TimePoint(Utils::TimePoint::duration(LastContact.load()));
}

void Follower::run() {
  Internal::Backoff backoff(C::MinBackoff, C::MaxBackoff,
                            Utils::fastHash(Utils::randomId()));
  auto stopping = [this] {
    std::lock_guard lock(Mutex);
    return Stopping;
  };
  while (!stopping()) {
    if (readOnce())
      backoff.reset();
    else
      pause(backoff.next());
  }
}

bool Follower::readOnce() {
  uint64_t from =
      Store.read([](const History::State &state) { return state.NextOffset; });
  if (!Begun && from == 0 && !beginAnew())
    return false;
  Begun = true;
  from =
      Store.read([](const History::State &state) { return state.NextOffset; });
  Utils::TimePoint asked = Clock.Now();
  auto read =
      Log.Read(from, C::MaxEntriesPerRead, CaughtUp ? C::ReadWaitMs : 0);
  Utils::Status status =
      !read ? Utils::Status(read.error()) : checkRead(*read, from);
  if (status && read->NextOffset < from)
    status = Utils::failure(Utils::Errc::Corrupt,
                            "log: it ends before what was read from it");
  if (!status) {
    Utils::Event("log_read_failed").with("why", status.error().What).warning();
    return false;
  }
  FirstRetained = read->FirstRetained;
  if (read->FirstRetained > from) {
    Utils::Event("log_overtaken")
        .with("next", from)
        .with("first", read->FirstRetained)
        .warning();
    return beginAnew();
  }
  for (const Environment::LogEntry &entry : read->Entries)
    Store.applyAppend(entry.Offset, entry.Bytes);
  LastContact = asked.time_since_epoch().count();
  if (from + read->Entries.size() >= read->NextOffset)
    CaughtUp = true;
  return true;
}

bool Follower::beginAnew() {
  auto start = findStart(Log);
  if (!start) {
    Utils::Event("state_not_begun").with("why", start.error().What).error();
    return false;
  }
  Utils::Event("state_begun")
      .with("next", start->Content.NextOffset)
      .with("snapshot", start->SnapshotOffset ? "yes" : "no")
      .info();
  Store.replace(std::move(start.value().Content));
  return true;
}

void Follower::pause(Utils::Milliseconds delay) {
  std::unique_lock lock(Mutex);
  Wake.wait_for(lock, delay, [this] { return Stopping; });
}

} // namespace LogSync
