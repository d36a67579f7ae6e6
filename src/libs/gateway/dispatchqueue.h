#ifndef GATEWAY_DISPATCHQUEUE_H
#define GATEWAY_DISPATCHQUEUE_H

#include "fleetlink/fleetlink.h"
#include "httpio/httpio.h"

#include <functional>
#include <memory>
#include <vector>

namespace Gateway {

class Call;

/// Queue of calls that wait for an endpoint that can run them, in order of
/// arrival.
class DispatchQueue {
public:
  explicit DispatchQueue(asio::io_context &loop);

  void add(std::weak_ptr<Call> call);
  /// Lets every queued call try again to pick an endpoint.
  void retry();
  /// Refuses all queued calls because the gateway shuts down; their callers
  /// retry at another gateway.
  void refuseAll();
  /// Number of queued calls and earliest deadline by service, model and
  /// adapter.
  std::vector<FleetLink::WaitingCalls> summary() const;
  bool isEmpty() const { return Calls.empty(); }

  /// Called when a call has been queued.
  std::function<void()> OnAdded;

private:
  void scheduleRetry();

  std::vector<std::weak_ptr<Call>> Calls;
  HttpIo::OneShotTimer RetryTimer;
  bool RetryScheduled = false;
};

} // namespace Gateway

#endif // GATEWAY_DISPATCHQUEUE_H
