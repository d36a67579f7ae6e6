#include "history/applyrecord.h"
#include "history/historyconstants.h"

namespace History::Internal {

namespace {

bool holdsSnapshotDuty(const State &state, Position fence) {
  return fence != 0 && fence == fenceOf(state, Constants::SnapshotDuty);
}

AuditEntry expiryEntry(const State &state, Position at, const char *what,
                       size_t n) {
  return {at,
          0,
          state.Leases.at(Constants::SnapshotDuty).Holder,
          what,
          std::to_string(n) + " kept",
          "dropped",
          true,
          ""};
}

bool isWithdrawn(const Order &order) {
  return order.Settled && order.Result == OrderResult::NotRun;
}

/// Why the claim cannot take the key from the order; empty when it can.
std::string whyRefused(const Order &order, const OrderClaim &record) {
  bool sameRequest =
      order.RequestHash.empty() || order.RequestHash == record.RequestHash;
  if (!sameRequest)
    return "the key was used for another request";
  if (!isWithdrawn(order))
    return "the key is claimed";
  if (order.ClaimId == record.ClaimId)
    return "the claim was withdrawn";
  return {};
}

} // namespace

/// A key whose order did not run can be claimed anew. A claim that arrives
/// after its own withdrawal is refused.
Verdict applyRecord(State &state, Position at, const OrderClaim &record) {
  if (auto it = state.Orders.find(record.KeyHash); it != state.Orders.end())
    if (std::string why = whyRefused(it->second, record); !why.empty())
      return rejected(at, why);
  Order order;
  order.ClaimId = record.ClaimId;
  order.Daemon = record.Daemon;
  order.RequestHash = record.RequestHash;
  order.ExpiryUnixS = record.ExpiryUnixS;
  order.Claimed = at;
  state.Orders[record.KeyHash] = std::move(order);
  auditOrder(state, {at, 0, record.Daemon, "order " + record.ClaimId, "",
                     "claimed", true, ""});
  return accepted(at);
}

/// Only the claim in force can be settled, and once. A withdrawal may overtake
/// its claim on the way to the log; it is then kept in the claim's place.
Verdict applyRecord(State &state, Position at, const OrderOutcome &record) {
  auto it = state.Orders.find(record.KeyHash);
  if (it == state.Orders.end() && record.Result == OrderResult::NotRun) {
    Order withdrawn;
    withdrawn.ClaimId = record.ClaimId;
    withdrawn.Claimed = at;
    withdrawn.Settled = true;
    withdrawn.Result = OrderResult::NotRun;
    state.Orders[record.KeyHash] = std::move(withdrawn);
    return accepted(at);
  }
  if (it == state.Orders.end() || it->second.ClaimId != record.ClaimId)
    return rejected(at, "no such claim");
  if (it->second.Settled)
    return rejected(at, "the claim is settled");
  it->second.Settled = true;
  it->second.Result = record.Result;
  it->second.HttpStatus = record.HttpStatus;
  it->second.ContentType = record.ContentType;
  it->second.Body = record.Body;
  auditOrder(state,
             {at, 0, it->second.Daemon, "order " + record.ClaimId, "claimed",
              std::string(orderResultName(record.Result)), true, ""});
  return accepted(at);
}

Verdict applyRecord(State &state, Position at, const OrdersExpired &record) {
  if (!holdsSnapshotDuty(state, record.Fence))
    return rejected(at, "not the holder of the snapshot duty");
  size_t n = std::erase_if(state.Orders, [&](const auto &it) {
    const Order &order = it.second;
    return order.Settled && order.ExpiryUnixS != 0 &&
           order.ExpiryUnixS < record.BeforeUnixS;
  });
  auditOrder(state, expiryEntry(state, at, "expired orders", n));
  return accepted(at);
}

Verdict applyRecord(State &state, Position at,
                    const OrderBodiesExpired &record) {
  if (!holdsSnapshotDuty(state, record.Fence))
    return rejected(at, "not the holder of the snapshot duty");
  size_t n = 0;
  for (auto &[key, order] : state.Orders) {
    if (!order.Settled || order.BodyDropped || order.ExpiryUnixS != 0 ||
        order.Claimed >= record.Before)
      continue;
    std::string().swap(order.Body);
    order.BodyDropped = true;
    ++n;
  }
  auditOrder(state, expiryEntry(state, at, "bodies of orders", n));
  return accepted(at);
}

} // namespace History::Internal
