#ifndef PEERS_PENDINGCALL_H
#define PEERS_PENDINGCALL_H

#include "utils/clock.h"
#include "utils/outcome.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Peers::Internal {

/// One request that a thread waits for. Thread-safe.
class PendingCall {
public:
  /// Waits for the answer. Without one at the deadline the call is given up:
  /// it is not sent any more if it was not sent until then.
  Utils::Outcome<std::string> wait(Utils::TimePoint deadline);

  /// Notes that the request is about to be sent; false when it was given up.
  bool markSent();
  void finish(Utils::Outcome<std::string> outcome);
  /// Ends the call after the connection was lost: Errc::Unavailable when the
  /// request was not sent, else Errc::UnknownResult.
  void fail(const std::string &why);
  bool waiting() const;

private:
  Utils::Failure failureFor(const std::string &why) const;

  mutable std::mutex Mutex;
  std::condition_variable Done;
  std::optional<Utils::Outcome<std::string>> Result;
  bool Sent = false;
  bool GivenUp = false;
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

} // namespace Peers::Internal

#endif // PEERS_PENDINGCALL_H
