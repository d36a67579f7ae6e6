#ifndef DAEMON_PEERDUTYLOG_H
#define DAEMON_PEERDUTYLOG_H

#include "daemon/currency.h"
#include "daemon/logfollowers.h"
#include "environment/environment.h"
#include "history/history.h"
#include "peers/peers.h"

#include <condition_variable>
#include <deque>
#include <thread>

namespace Daemon::Internal {

struct RecordsReply;

/// The newest appends as read, contiguous and bounded in bytes. Thread-safe.
class AppendCache {
public:
  explicit AppendCache(size_t maxBytes) : MaxBytes(maxBytes) {}

  /// Takes an entry that follows the last one; after a gap it begins anew.
  void add(const Environment::LogEntry &entry);
  /// Entries from an offset, within the bounds; nothing when it is too old.
  std::optional<std::vector<Environment::LogEntry>>
  read(uint64_t from, size_t maxEntries, size_t maxBytes) const;
  /// Offset after the last entry; 0 without entries.
  uint64_t end() const;

private:
  size_t MaxBytes;
  mutable std::mutex Mutex;
  std::deque<Environment::LogEntry> Entries;
  size_t Bytes = 0;
};

/// What the fallback needs of the daemon; replaced in tests.
struct PeerLogSources {
  Environment::LogService Log;
  Peers::Rpc Rpc;
  /// Daemons to ask, best first.
  std::function<std::vector<std::string>()> Candidates;
  /// The daemon that feeds this one; nothing while it reads the log itself.
  std::function<std::optional<std::string>()> Feeder;
};

/// The platform's log with the other daemons as a second source for reads, and
/// as the first one while another daemon feeds this one: the log is then only
/// asked now and then for its end, as proof that this daemon is current.
/// The log is read on a thread of its own, so that a read that hangs does not
/// keep records of peers away. Appends go to the log only. Read is called by
/// one thread, the one that writes the store.
class PeerLog {
public:
  PeerLog(PeerLogSources sources, History::StateStore &store,
          LogContact &contact, Utils::Clock clock);
  ~PeerLog();

  /// The log with the fallback; valid as long as this object lives.
  Environment::LogService service();
  /// Registers the methods by which others read from this daemon.
  void serve();
  void stop();

private:
  struct ReadJob {
    uint64_t From = 0;
    uint32_t Max = 0;
    uint32_t WaitMs = 0;
  };

  Utils::Outcome<Environment::LogRead> read(const ReadJob &job);
  Utils::Outcome<Environment::LogRead> readItself(const ReadJob &job);
  std::optional<Environment::LogRead> readFeeder(const ReadJob &job);
  /// The daemon to ask instead of the log now.
  std::optional<std::string> feederNow(const ReadJob &job);
  void setFed(bool fed);
  std::optional<Utils::Outcome<Environment::LogRead>>
  readLog(const ReadJob &job);
  Utils::Outcome<Environment::LogRead> readPeers(const ReadJob &job);
  Utils::Outcome<Environment::LogRead> askPeer(const std::string &daemon,
                                               const ReadJob &job);
  Environment::LogRead takeReply(const RecordsReply &reply, const ReadJob &job,
                                 Utils::TimePoint asked);
  bool fetchState(const std::string &daemon);
  void keep(const std::vector<Environment::LogEntry> &entries);
  std::string replyFrom(uint64_t from) const;
  void serveFollowers();
  /// Answers the daemons that lack what comes before `below`.
  void feed(uint64_t below);
  bool stopping();
  bool pause(Utils::Milliseconds delay);
  void run();
  /// Waits for a job and proves meanwhile that the log answers.
  std::optional<ReadJob> awaitJob();
  void readEnd();

  PeerLogSources Sources;
  History::StateStore &Store;
  LogContact &Contact;
  Utils::Clock Clock;
  AppendCache Cache;
  LogFollowers Followers;
  /// No daemon is asked to feed before this point.
  Utils::TimePoint FeedFrom;
  uint64_t FirstRetained = 0;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::optional<ReadJob> Job;
  std::optional<ReadJob> Asked;
  std::optional<Utils::Outcome<Environment::LogRead>> Result;
  /// Another daemon feeds this one, and when the log is next asked for its end.
  bool Fed = false;
  Utils::TimePoint EndDue;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace Daemon::Internal

#endif // DAEMON_PEERDUTYLOG_H
