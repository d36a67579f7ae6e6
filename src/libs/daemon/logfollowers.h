#ifndef DAEMON_LOGFOLLOWERS_H
#define DAEMON_LOGFOLLOWERS_H

#include "peers/rpc.h"

#include <cstdint>
#include <mutex>
#include <vector>

namespace Daemon::Internal {

/// Daemons that wait for records which this one reads from the log. Bounded;
/// thread-safe.
class LogFollowers {
public:
  static constexpr size_t MaxWaiting = 1024;

  struct Waiting {
    uint64_t From = 0;
    Peers::Answer Answer;
  };

  /// Whether questions are kept from now on: while this daemon reads the log.
  void open(bool isOpen);
  /// Keeps a question; false when it is not kept.
  bool add(uint64_t from, const Peers::Answer &answer);
  /// Takes out the questions for records from before `below`.
  std::vector<Waiting> take(uint64_t below);

private:
  std::mutex Mutex;
  std::vector<Waiting> All;
  bool Open = false;
};

} // namespace Daemon::Internal

#endif // DAEMON_LOGFOLLOWERS_H
