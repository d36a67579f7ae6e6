#ifndef GATEWAY_ENGINECLIENT_H
#define GATEWAY_ENGINECLIENT_H

#include "fleet/fleet.h"
#include "gateway/callwire.h"
#include "residency/residency.h"
#include "utils/outcome.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Gateway {

/// Result of sending an order to an engine.
enum class OrderReply : uint8_t {
  Accepted,      ///< The engine executes the order.
  AlreadyDone,   ///< The engine is already in the requested state.
  OutOfSequence, ///< Another order is in progress, or the order count differs.
  Fenced,        ///< The engine has seen a higher fencing token.
  WrongEndpoint, ///< The address now belongs to another endpoint.
  Rejected,      ///< The engine does not support the order.
  NotSent,       ///< The request was not sent.
  Unknown,       ///< No answer; the order may still be executed.
};

std::string_view orderReplyName(OrderReply reply);

/// State that an engine reports; it lags by a few hundred milliseconds.
struct EngineReport {
  /// Orders that the engine has accepted since its start.
  int64_t Orders = 0;
  /// An order is in progress.
  bool Busy = false;
  /// Adapters that are being loaded are included.
  std::vector<Fleet::ResidentModel> Models;
  std::vector<std::string> InMemory;
  std::vector<std::string> OnDisk;
};

/// Fencing data of an order: who sends it, and after how many others.
struct OrderMetadata {
  std::string Holder;
  int64_t FencingToken = 0;
  /// Number of orders that the engine must have accepted before this one; it
  /// rejects the order otherwise.
  int64_t ExpectedOrders = 0;
};

/// Client for the model engines: sends orders and reads reports. Every request
/// invokes its callback exactly once, asynchronously on the loop.
struct EngineClient {
  /// Receives the endpoint status of each response before the request's
  /// callback is invoked.
  using NoticeSink =
      std::function<void(const std::string &endpoint, const EndpointNotice &)>;
  std::shared_ptr<NoticeSink> Notices = std::make_shared<NoticeSink>();
  std::function<void(const Fleet::EndpointReport &endpoint,
                     const Residency::Order &order,
                     const OrderMetadata &metadata, Utils::TimePoint deadline,
                     std::function<void(OrderReply)>)>
      SendOrder;
  std::function<void(const Fleet::EndpointReport &endpoint,
                     Utils::TimePoint deadline,
                     std::function<void(Utils::Outcome<EngineReport>)>)>
      ReadReport;
};

} // namespace Gateway

#endif // GATEWAY_ENGINECLIENT_H
