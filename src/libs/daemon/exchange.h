#ifndef DAEMON_EXCHANGE_H
#define DAEMON_EXCHANGE_H

#include "daemon/context.h"
#include "frontdoor/frontdoor.h"

namespace Daemon::Internal {

/// An endpoint that can take a call.
struct Target {
  std::string Name;
  Engine::Endpoint Api;
};

/// One call to one endpoint, up to the head of the answer.
struct Exchange {
  std::shared_ptr<UpstreamCall> Call;
  /// Status 0: there is no head, and Ran and Why say what is known.
  Engine::ResponseHead Head;
  FrontDoor::RunState Ran = FrontDoor::RunState::NotRun;
  FrontDoor::Reason Why = FrontDoor::Reason::EndpointFailed;
  std::string Message;
  /// Counts the call as outstanding at the endpoint until it is destroyed.
  std::shared_ptr<void> Outstanding;
  /// Ends the answer when the caller's key is withdrawn.
  std::shared_ptr<void> KeyWatch;

  bool answered() const { return Head.Status != 0; }
};

/// Body of an answer that was read to its end, or as far as it came.
struct WholeBody {
  std::string Bytes;
  bool Whole = false;
  FrontDoor::Reason Why = FrontDoor::Reason::EndpointFailed;
  std::string Message;
};

/// Longest answer that is held in memory as a whole.
inline constexpr size_t MaxWholeAnswerBytes = size_t{16} << 20;

/// Why a call that gave no further piece ended.
struct Ending {
  FrontDoor::Reason Why = FrontDoor::Reason::DeadlineExceeded;
  std::string Message = "no whole answer before the deadline";
};

Ending endingOf(const UpstreamCall &call, bool callerLeft);

/// The caller's request as it goes to an endpoint; holds no credential. It ends
/// at `deadline`, so that a refusal still reaches the caller in time.
Engine::Call callOf(const FrontDoor::Request &request,
                    Utils::TimePoint deadline);

/// Sends the call once, to one endpoint, and waits for the head. A caller that
/// leaves meanwhile cancels the call, unless `callerLeft` is empty; so does the
/// withdrawal of the key, unless `keyHash` is empty.
Exchange exchange(Context &context, const Target &target, Engine::Call call,
                  const std::function<bool()> &callerLeft,
                  const std::string &keyHash);

/// Reads the rest of the answer; cancels the call when it does not end whole.
WholeBody readBody(const Exchange &exchange,
                   const std::function<bool()> &callerLeft);

} // namespace Daemon::Internal

#endif // DAEMON_EXCHANGE_H
