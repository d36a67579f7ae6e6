#include "history/orderexpiry.h"
#include "history/historyconstants.h"

namespace History {

namespace C = Constants;

OrderExpiry orderExpiry(const State &state, int64_t beforeUnixS) {
  OrderExpiry expiry;
  std::map<Position, size_t> bodies;
  size_t kept = 0;
  for (const auto &[key, order] : state.Orders) {
    if (!order.Settled)
      continue;
    if (order.ExpiryUnixS != 0) {
      expiry.Expired |= order.ExpiryUnixS < beforeUnixS;
      continue;
    }
    bodies[order.Claimed] += order.Body.size();
    kept += order.Body.size();
  }
  if (kept <= C::MaxOrderBodyBytes)
    return expiry;
  for (auto it = bodies.begin();
       it != bodies.end() && kept > C::MaxOrderBodyBytes / 2; ++it) {
    kept -= it->second;
    expiry.BodiesBefore = it->first + 1;
  }
  return expiry;
}

} // namespace History
