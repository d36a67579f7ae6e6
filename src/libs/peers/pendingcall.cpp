#include "peers/pendingcall.h"

namespace Peers::Internal {

Utils::Failure PendingCall::failureFor(const std::string &why) const {
  return Utils::failure(Sent ? Utils::Errc::UnknownResult
                             : Utils::Errc::Unavailable,
                        "peer: " + why);
}

Utils::Outcome<std::string> PendingCall::wait(Utils::TimePoint deadline) {
  std::unique_lock lock(Mutex);
  Done.wait_until(lock, deadline, [this] { return Result.has_value(); });
  if (Result)
    return std::move(*Result);
  GivenUp = true;
  return failureFor("no answer before the deadline");
}

bool PendingCall::markSent() {
  std::lock_guard lock(Mutex);
  Sent = !GivenUp && !Result;
  return Sent;
}

void PendingCall::finish(Utils::Outcome<std::string> outcome) {
  {
    std::lock_guard lock(Mutex);
    if (Result)
      return;
    Result = std::move(outcome);
  }
  Done.notify_all();
}

void PendingCall::fail(const std::string &why) {
  {
    std::lock_guard lock(Mutex);
    if (Result)
      return;
    Result = failureFor(why);
  }
  Done.notify_all();
}

bool PendingCall::waiting() const {
  std::lock_guard lock(Mutex);
  return !GivenUp && !Result;
}

} // namespace Peers::Internal
