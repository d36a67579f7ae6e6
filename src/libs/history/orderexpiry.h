#ifndef HISTORY_ORDEREXPIRY_H
#define HISTORY_ORDEREXPIRY_H

#include "history/state.h"

namespace History {

/// What the holder of the duty `snapshot` may forget of the orders.
struct OrderExpiry {
  /// At least one settled order's key expired before the point asked about.
  bool Expired = false;
  /// Bodies of free-form keys claimed before this position are to be dropped;
  /// 0 when they fit their bound.
  Position BodiesBefore = 0;
};

/// Looks for settled orders whose key expired before `beforeUnixS`, and for
/// more bytes of kept bodies than the bound allows. Then half of it is freed.
OrderExpiry orderExpiry(const State &state, int64_t beforeUnixS);

} // namespace History

#endif // HISTORY_ORDEREXPIRY_H
