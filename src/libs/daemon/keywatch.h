#ifndef DAEMON_KEYWATCH_H
#define DAEMON_KEYWATCH_H

#include "daemon/upstream.h"
#include "history/history.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace Daemon::Internal {

/// Thread that ends running answers whose key was withdrawn. It wakes when the
/// state changes, not for each piece of an answer.
class KeyWatch {
public:
  explicit KeyWatch(const History::StateStore &store);
  ~KeyWatch();

  void start();
  void stop();

  /// Cancels the call once the key's hash is granted no more. The watch ends
  /// when the handle is destroyed.
  std::shared_ptr<void> watch(const std::string &keyHash,
                              std::shared_ptr<UpstreamCall> call);

private:
  void run();
  bool anyWithdrawn(const History::State &state) const;
  void cancelWithdrawn();

  const History::StateStore &Store;
  mutable std::mutex Mutex;
  std::multimap<std::string, std::shared_ptr<UpstreamCall>> Calls;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace Daemon::Internal

#endif // DAEMON_KEYWATCH_H
