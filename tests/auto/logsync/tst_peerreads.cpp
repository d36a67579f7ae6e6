#include "daemon/peerduty.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Daemon::Internal::Context;

namespace {

/// An empty log whose reads for new records wait until they are let go.
struct QuietLog {
  std::mutex Mutex;
  std::condition_variable Changed;
  bool ReadWaits = false;
  bool LetGo = false;

  Environment::LogService service() {
    Environment::LogService log;
    log.Append = [](const std::string &) -> Utils::Outcome<uint64_t> {
      return Utils::failure(Utils::Errc::Unavailable, "read only");
    };
    log.Read = [this](uint64_t, uint32_t, uint32_t waitMs) {
      std::unique_lock lock(Mutex);
      ReadWaits |= waitMs > 0;
      Changed.notify_all();
      if (waitMs > 0)
        Changed.wait(lock, [this] { return LetGo; });
      return Utils::Outcome<Environment::LogRead>(Environment::LogRead());
    };
    return log;
  }
  bool waitForRead() {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, 20s, [this] { return ReadWaits; });
  }
  void letGo() {
    std::lock_guard lock(Mutex);
    LetGo = true;
    Changed.notify_all();
  }
};

/// A daemon that follows a quiet log.
struct FollowingDaemon {
  QuietLog Log;
  Context Shared;

  FollowingDaemon() {
    Shared.Settings.Name = "d0";
    Shared.Settings.ListenAddress = "127.0.0.1";
    Shared.Log = Log.service();
    Daemon::Internal::connectPeers(Shared);
    REQUIRE(Shared.Node->start().ok());
    Shared.Follower = std::make_unique<LogSync::Follower>(
        Shared.PeerReads->service(), Shared.Store, Shared.Clock);
    Shared.Follower->start();
  }
  ~FollowingDaemon() {
    Log.letGo();
    Shared.Follower->stop();
    Shared.PeerReads->stop();
    Shared.Node->stop();
  }
};

} // namespace

TEST_CASE_FIXTURE(FollowingDaemon,
                  "log read by a duty, follower waits for records, is answered "
                  "and takes no answer of the follower's") {
  REQUIRE(Log.waitForRead());
  CHECK(LogSync::findStart(Shared.Log).ok());
  CHECK_FALSE(Shared.Contact->lostSince().has_value());
}
