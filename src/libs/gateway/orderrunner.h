#ifndef GATEWAY_ORDERRUNNER_H
#define GATEWAY_ORDERRUNNER_H

#include "gateway/engineclient.h"
#include "httpio/httpio.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace Gateway {

/// Queue of tasks for one engine, sent one order at a time. Every order carries
/// the number of orders that the engine accepted before it, so that a delayed
/// or duplicated order has no effect.
class OrderRunner : public std::enable_shared_from_this<OrderRunner> {
public:
  /// Services and callbacks of the holder that owns the runner.
  struct Context {
    asio::io_context &Loop;
    const EngineClient &Engines;
    std::string Holder;
    /// Fencing token of the duty, or nothing if no order may be sent now.
    std::function<std::optional<int64_t>()> FencingToken;
    /// Latest record of the endpoint, or null if it accepts no orders.
    std::function<const Fleet::EndpointReport *(const std::string &id)>
        FindEndpoint;
    /// End of the endpoint's cool-down; nothing may be sent before.
    std::function<Utils::TimePoint(const std::string &id)> CoolDownUntil;
    /// The engine accepted the order, or was in the ordered state already.
    std::function<void(const std::string &id, const Residency::Order &)>
        OnOrderAccepted;
    /// Whether the engine has room for what the order loads, as far as known.
    std::function<bool(const std::string &id, const Residency::Order &)>
        HasRoomFor;
    /// The engine is still executing an order, or its report lags behind.
    std::function<void(const std::string &id)> OnBusy;
    /// A report was read that counts every accepted order, with none still
    /// being executed.
    std::function<void(const std::string &id, const EngineReport &)>
        OnIdleReport;
    /// The engine is unreachable, no longer ready, or was replaced by another
    /// instance.
    std::function<void(const std::string &id)> OnLost;
    /// The engine has seen a higher fencing token.
    std::function<void()> OnFenced;
    /// The task queue has become empty.
    std::function<void(const std::string &id)> OnIdle;
    /// Whether the engine's failure domain is being evacuated.
    std::function<bool(const std::string &id)> IsEvacuated;
  };

  OrderRunner(std::shared_ptr<const Context> context, std::string id);

  /// Queues a task; an idle runner starts it after `delay`.
  void add(Residency::Task task, Utils::Milliseconds delay);
  /// Reads the engine's report once the call or delay in progress has ended.
  void requestReport();
  /// As requestReport(), but an idle runner waits for `delay` first.
  void requestReportAfter(Utils::Milliseconds delay);
  /// Drops queued tasks and makes no further callbacks.
  void stop();
  bool isIdle() const { return Tasks.empty() && !InProgress; }
  Utils::TimePoint lastOrderAt() const { return LastOrderAt; }

private:
  void runNext();
  void runNextAfter(Utils::Milliseconds delay);
  void sendOrder(const Fleet::EndpointReport &endpoint);
  void onReply(OrderReply reply, const Residency::Order &order);
  void readReport(const Fleet::EndpointReport &endpoint);
  void onReport(const Utils::Outcome<EngineReport> &report);
  void onOrderDone(const Residency::Order &order);
  void dropTask(std::string_view reason);
  void handleEngineLost(std::string_view reason);

  std::shared_ptr<const Context> Ctx;
  std::string Id;
  std::deque<Residency::Task> Tasks;
  HttpIo::Timer DelayTimer;
  /// Number of orders that the engine has accepted; unknown until its report
  /// was read.
  std::optional<int64_t> AcceptedOrders;
  bool ReportRequested = false;
  /// A call to the engine or a delay before the next one is in progress.
  bool InProgress = false;
  bool Stopped = false;
  uint32_t Failures = 0;
  uint32_t ReportFailures = 0;
  uint32_t BusyReports = 0;
  Utils::TimePoint LastOrderAt{};
};

} // namespace Gateway

#endif // GATEWAY_ORDERRUNNER_H
