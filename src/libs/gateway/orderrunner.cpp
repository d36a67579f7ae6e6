#include "gateway/orderrunner.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

namespace Gateway {

namespace {

using Residency::Change;
using Residency::Order;

/// Timeout of an order or a report read. Replies take about 3 ms; one that
/// takes this long is lost.
constexpr milliseconds OrderReplyTimeout{400};
/// Delay before a retry after an out-of-step or unknown reply, a failed report
/// read or a dropped task.
constexpr milliseconds OrderRetryDelay{20};
/// Failed attempts after which the engine's report is read, and the delay
/// before it. Reports lag by 200 ms.
constexpr uint32_t FailuresPerReport = 4;
constexpr milliseconds ReportDelay{50};
/// Initial backoff between report reads while the engine is busy with an order,
/// and how many times it is doubled: a load from the store takes 6 s or more.
constexpr milliseconds BusyReportDelay{150};
constexpr uint32_t MaxBusyDoublings = 2;
/// Age of the latest order from which a report that counts fewer orders is
/// accepted: it no longer lags, so the engine has restarted.
constexpr milliseconds MaxReportLag{600};
/// Delay between an unload and the load that needs the freed memory.
constexpr milliseconds DelayAfterUnload{5};
/// Maximum failed attempts at one order. With the delays between them they last
/// longer than a load from the store.
constexpr uint32_t MaxOrderFailures = 60;
constexpr uint32_t MaxReportFailures = 3;

} // namespace

std::string_view orderReplyName(OrderReply reply) {
  static constexpr std::string_view names[] = {
      "accepted",       "holds",    "out_of_step", "fenced",
      "wrong_endpoint", "rejected", "not_sent",    "unknown"};
  return names[static_cast<size_t>(reply)];
}

OrderRunner::OrderRunner(std::shared_ptr<const Context> context, std::string id)
    : Ctx(std::move(context)), Id(std::move(id)), DelayTimer(Ctx->Loop) {}

void OrderRunner::add(Residency::Task task, Utils::Milliseconds delay) {
  bool idle = isIdle();
  Tasks.push_back(std::move(task));
  if (idle && delay.count() > 0)
    return runNextAfter(delay);
  if (idle)
    runNext();
}

void OrderRunner::requestReport() {
  ReportRequested = true;
  if (isIdle())
    runNext();
}

void OrderRunner::requestReportAfter(Utils::Milliseconds delay) {
  ReportRequested = true;
  if (isIdle())
    runNextAfter(delay);
}

void OrderRunner::stop() {
  Stopped = true;
  Tasks.clear();
  DelayTimer.cancel();
}

void OrderRunner::runNextAfter(Utils::Milliseconds delay) {
  auto self = shared_from_this();
  InProgress = true;
  DelayTimer.expires_after(delay);
  DelayTimer.async_wait([self](const std::error_code &ec) {
    self->InProgress = false;
    if (!ec && !self->Stopped)
      self->runNext();
  });
}

void OrderRunner::runNext() {
  if (InProgress || Stopped || (Tasks.empty() && !ReportRequested))
    return;
  const Fleet::EndpointReport *endpoint = Ctx->FindEndpoint(Id);
  if (!endpoint)
    return handleEngineLost("not_listed");
  Utils::TimePoint now = Utils::BootClock::now();
  if (Utils::TimePoint coolDownUntil = Ctx->CoolDownUntil(Id);
      now < coolDownUntil)
    return runNextAfter(std::chrono::ceil<milliseconds>(coolDownUntil - now));
  if (ReportRequested || !AcceptedOrders)
    return readReport(*endpoint);
  sendOrder(*endpoint);
}

void OrderRunner::sendOrder(const Fleet::EndpointReport &endpoint) {
  const Order order = Tasks.front().Orders.front();
  auto token = Ctx->FencingToken();
  if (!token)
    return dropTask("no_duty");
  if (Ctx->IsEvacuated(Id))
    return dropTask("domain_evacuated");
  if (!Ctx->HasRoomFor(Id, order))
    return dropTask("no_room");
  InProgress = true;
  auto self = shared_from_this();
  LastOrderAt = Utils::BootClock::now();
  Ctx->Engines.SendOrder(
      endpoint, order, {Ctx->Holder, *token, *AcceptedOrders},
      LastOrderAt + OrderReplyTimeout, [self, order, token](OrderReply reply) {
        self->InProgress = false;
        Utils::Event("order_answered")
            .with("endpoint", self->Id)
            .with("change", Residency::changeName(order.What))
            .with("model", order.Model)
            .with("adapter", order.Adapter)
            .with("token", *token)
            .with("after", *self->AcceptedOrders)
            .with("reply", orderReplyName(reply))
            .with("ms",
                  Utils::msBetween(self->LastOrderAt, Utils::BootClock::now()))
            .info();
        if (!self->Stopped)
          self->onReply(reply, order);
      });
}

void OrderRunner::onReply(OrderReply reply, const Order &order) {
  switch (reply) {
  case OrderReply::Accepted:
    ++*AcceptedOrders;
    return onOrderDone(order);
  case OrderReply::AlreadyDone:
    // An adapter is unloaded immediately, so the engine has already counted the
    // order.
    if (order.What == Change::UnloadAdapter)
      ++*AcceptedOrders;
    return onOrderDone(order);
  case OrderReply::OutOfSequence:
  case OrderReply::Unknown:
    if (++Failures > MaxOrderFailures)
      return dropTask("no_progress");
    // The usual cause is that the previous order is still being executed.
    ReportRequested = Failures % FailuresPerReport == 0;
    return runNextAfter(ReportRequested ? ReportDelay : OrderRetryDelay);
  case OrderReply::Fenced:
    dropTask("fenced");
    return Ctx->OnFenced();
  case OrderReply::WrongEndpoint:
  case OrderReply::NotSent:
    return handleEngineLost(orderReplyName(reply));
  case OrderReply::Rejected:
    return dropTask("rejected");
  }
}

void OrderRunner::onOrderDone(const Order &order) {
  Failures = 0;
  auto &orders = Tasks.front().Orders;
  orders.erase(orders.begin());
  if (orders.empty())
    Tasks.pop_front();
  Ctx->OnOrderAccepted(Id, order);
  if (!Tasks.empty())
    return runNextAfter(order.What == Change::UnloadModel ? DelayAfterUnload
                                                          : milliseconds(0));
  Ctx->OnIdle(Id);
}

void OrderRunner::readReport(const Fleet::EndpointReport &endpoint) {
  InProgress = true;
  auto self = shared_from_this();
  Ctx->Engines.ReadReport(endpoint, Utils::BootClock::now() + OrderReplyTimeout,
                          [self](const Utils::Outcome<EngineReport> &report) {
                            self->InProgress = false;
                            if (!self->Stopped)
                              self->onReport(report);
                          });
}

void OrderRunner::onReport(const Utils::Outcome<EngineReport> &report) {
  if (!report) {
    Utils::Event("engine_report_failed")
        .with("endpoint", Id)
        .with("error", report.error().What)
        .warning();
    if (++ReportFailures >= MaxReportFailures)
      return handleEngineLost("no_report");
    return runNextAfter(OrderRetryDelay);
  }
  ReportRequested = false;
  ReportFailures = 0;
  if (AcceptedOrders && report->Orders > *AcceptedOrders && !Tasks.empty()) {
    Utils::Event("tasks_overtaken")
        .with("endpoint", Id)
        .with("known_orders", *AcceptedOrders)
        .with("orders", report->Orders)
        .warning();
    Tasks.clear();
  }
  bool settled = Utils::BootClock::now() > LastOrderAt + MaxReportLag;
  bool stale = AcceptedOrders && report->Orders < *AcceptedOrders && !settled;
  if (!stale)
    AcceptedOrders = report->Orders;
  if (stale || report->Busy) {
    ReportRequested = true;
    Ctx->OnBusy(Id);
    auto delay =
        BusyReportDelay * (1 << std::min(BusyReports++, MaxBusyDoublings));
    return runNextAfter(delay);
  }
  BusyReports = 0;
  Ctx->OnIdleReport(Id, *report);
  if (Tasks.empty())
    return Ctx->OnIdle(Id);
  runNext();
}

void OrderRunner::dropTask(std::string_view reason) {
  Utils::Event("task_dropped")
      .with("endpoint", Id)
      .with("model", Tasks.front().Orders.front().Model)
      .with("reason", reason)
      .warning();
  Failures = 0;
  Tasks.pop_front();
  if (Tasks.empty())
    return Ctx->OnIdle(Id);
  runNextAfter(OrderRetryDelay);
}

void OrderRunner::handleEngineLost(std::string_view reason) {
  Utils::Event("engine_lost")
      .with("endpoint", Id)
      .with("reason", reason)
      .warning();
  Tasks.clear();
  ReportRequested = false;
  AcceptedOrders.reset();
  Failures = ReportFailures = 0;
  Ctx->OnLost(Id);
}

} // namespace Gateway
