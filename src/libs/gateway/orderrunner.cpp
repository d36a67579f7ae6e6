#include "gateway/orderrunner.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

namespace Gateway {

namespace {

using Residency::Change;
using Residency::Order;

/// Time for the answer to an order or a report, which takes about 3 ms; longer
/// ones were lost.
constexpr milliseconds AnswerLimit{400};
/// Pause before an order that was out of step is sent again.
constexpr milliseconds OutOfStepPause{20};
/// Attempts after which the engine's report is read, and the pause before it.
/// Reports lag by 200 ms.
constexpr uint32_t FailuresPerReport = 4;
constexpr milliseconds ReportPause{50};
/// Pause between reports of an engine that is busy with an order, and how often
/// it is doubled: a load from the store takes 6 s and more.
constexpr milliseconds BusyPause{150};
constexpr uint32_t MostDoublings = 2;
/// Age of the newest order from which a report that counts fewer orders is
/// believed: the engine has started anew.
constexpr milliseconds ReportCatchUp{600};
/// Pause between an unload and the load that needs its room.
constexpr milliseconds UnloadPause{5};
/// Attempts at one order. With the pause they cover a load from the store.
constexpr uint32_t MostFailures = 60;
constexpr uint32_t MostReportFailures = 3;

} // namespace

std::string_view orderReplyName(OrderReply reply) {
  static constexpr std::string_view names[] = {
      "accepted",       "holds",    "out_of_step", "fenced",
      "wrong_endpoint", "rejected", "not_sent",    "unknown"};
  return names[static_cast<size_t>(reply)];
}

OrderRunner::OrderRunner(std::shared_ptr<const Context> context, std::string id)
    : It(std::move(context)), Id(std::move(id)), Pause(It->Loop) {}

void OrderRunner::add(Residency::Task task, Utils::Milliseconds pause) {
  bool idle = isIdle();
  Tasks.push_back(std::move(task));
  if (idle && pause.count() > 0)
    return nextAfter(pause);
  if (idle)
    next();
}

void OrderRunner::askReport() {
  WantsReport = true;
  if (isIdle())
    next();
}

void OrderRunner::askReportAfter(Utils::Milliseconds pause) {
  WantsReport = true;
  if (isIdle())
    nextAfter(pause);
}

void OrderRunner::stop() {
  Stopped = true;
  Tasks.clear();
  Pause.cancel();
}

void OrderRunner::nextAfter(Utils::Milliseconds pause) {
  auto self = shared_from_this();
  Calling = true;
  Pause.expires_after(pause);
  Pause.async_wait([self](const std::error_code &ec) {
    self->Calling = false;
    if (!ec && !self->Stopped)
      self->next();
  });
}

void OrderRunner::next() {
  if (Calling || Stopped || (Tasks.empty() && !WantsReport))
    return;
  const Fleet::EndpointReport *endpoint = It->Find(Id);
  if (!endpoint)
    return lose("not_listed");
  Utils::TimePoint now = Utils::BootClock::now();
  if (Utils::TimePoint rest = It->RestUntil(Id); now < rest)
    return nextAfter(std::chrono::ceil<milliseconds>(rest - now));
  if (WantsReport || !Orders)
    return readReport(*endpoint);
  sendOrder(*endpoint);
}

void OrderRunner::sendOrder(const Fleet::EndpointReport &endpoint) {
  const Order order = Tasks.front().Orders.front();
  auto token = It->Token();
  if (!token)
    return drop("no_duty");
  if (!It->Fits(Id, order))
    return drop("no_room");
  Calling = true;
  auto self = shared_from_this();
  LastOrderAt = Utils::BootClock::now();
  It->Engines.SendOrder(
      endpoint, order, {It->Holder, *token, *Orders}, LastOrderAt + AnswerLimit,
      [self, order, token](OrderReply reply) {
        self->Calling = false;
        Utils::Event("order_answered")
            .with("endpoint", self->Id)
            .with("change", Residency::changeName(order.What))
            .with("model", order.Model)
            .with("adapter", order.Adapter)
            .with("token", *token)
            .with("after", *self->Orders)
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
    ++*Orders;
    return stepDone(order);
  case OrderReply::AlreadyDone:
    // An adapter is unloaded at once, which counts.
    if (order.What == Change::UnloadAdapter)
      ++*Orders;
    return stepDone(order);
  case OrderReply::OutOfSequence:
  case OrderReply::Unknown:
    if (++Failures > MostFailures)
      return drop("no_progress");
    // Mostly the order before is still under way.
    WantsReport = Failures % FailuresPerReport == 0;
    return nextAfter(WantsReport ? ReportPause : OutOfStepPause);
  case OrderReply::Fenced:
    drop("fenced");
    return It->Fenced();
  case OrderReply::WrongEndpoint:
  case OrderReply::NotSent:
    return lose(orderReplyName(reply));
  case OrderReply::Rejected:
    return drop("rejected");
  }
}

void OrderRunner::stepDone(const Order &order) {
  Failures = 0;
  auto &orders = Tasks.front().Orders;
  orders.erase(orders.begin());
  if (orders.empty())
    Tasks.pop_front();
  It->Taken(Id, order);
  if (!Tasks.empty())
    return nextAfter(order.What == Change::UnloadModel ? UnloadPause
                                                       : milliseconds(0));
  It->Idle(Id);
}

void OrderRunner::readReport(const Fleet::EndpointReport &endpoint) {
  Calling = true;
  auto self = shared_from_this();
  It->Engines.ReadReport(endpoint, Utils::BootClock::now() + AnswerLimit,
                         [self](const Utils::Outcome<EngineReport> &report) {
                           self->Calling = false;
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
    if (++ReportFailures >= MostReportFailures)
      return lose("no_report");
    return nextAfter(OutOfStepPause);
  }
  WantsReport = false;
  ReportFailures = 0;
  if (Orders && report->Orders > *Orders && !Tasks.empty()) {
    Utils::Event("tasks_overtaken")
        .with("endpoint", Id)
        .with("known_orders", *Orders)
        .with("orders", report->Orders)
        .warning();
    Tasks.clear();
  }
  bool settled = Utils::BootClock::now() > LastOrderAt + ReportCatchUp;
  bool stale = Orders && report->Orders < *Orders && !settled;
  if (!stale)
    Orders = report->Orders;
  if (stale || report->Busy) {
    WantsReport = true;
    It->Busy(Id);
    auto pause = BusyPause * (1 << std::min(BusyReports++, MostDoublings));
    return nextAfter(pause);
  }
  BusyReports = 0;
  It->Reported(Id, *report);
  if (Tasks.empty())
    return It->Idle(Id);
  next();
}

void OrderRunner::drop(std::string_view reason) {
  Utils::Event("task_dropped")
      .with("endpoint", Id)
      .with("model", Tasks.front().Orders.front().Model)
      .with("reason", reason)
      .warning();
  Failures = 0;
  Tasks.pop_front();
  if (Tasks.empty())
    return It->Idle(Id);
  nextAfter(OutOfStepPause);
}

void OrderRunner::lose(std::string_view reason) {
  Utils::Event("engine_lost")
      .with("endpoint", Id)
      .with("reason", reason)
      .warning();
  Tasks.clear();
  WantsReport = false;
  Orders.reset();
  Failures = ReportFailures = 0;
  It->Lost(Id);
}

} // namespace Gateway
