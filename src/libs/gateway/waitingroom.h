#ifndef GATEWAY_WAITINGROOM_H
#define GATEWAY_WAITINGROOM_H

#include "fleetlink/fleetlink.h"
#include "httpio/httpio.h"

#include <functional>
#include <memory>
#include <vector>

namespace Gateway {

class Call;

/// Calls that wait for an endpoint that can run them, in the order of their
/// arrival.
class WaitingRoom {
public:
  explicit WaitingRoom(asio::io_context &loop);

  void add(std::weak_ptr<Call> call);
  /// Lets every call look for an endpoint once more.
  void retry();
  /// The gateway leaves: its callers had better ask another one.
  void refuseAll();
  /// What the calls wait for.
  std::vector<FleetLink::WaitingCalls> summary() const;
  bool isEmpty() const { return Calls.empty(); }

  /// Called when a call has come to wait.
  std::function<void()> OnAdded;

private:
  void tick();

  std::vector<std::weak_ptr<Call>> Calls;
  HttpIo::Timer Tick;
  bool Ticking = false;
};

} // namespace Gateway

#endif // GATEWAY_WAITINGROOM_H
