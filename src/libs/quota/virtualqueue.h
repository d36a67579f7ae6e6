#ifndef QUOTA_VIRTUALQUEUE_H
#define QUOTA_VIRTUALQUEUE_H

#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace Quota {

using Utils::Milliseconds;
using Utils::TimePoint;

/// A call that waits at a gateway for the holder's decision.
struct QueuedCall {
  /// Number of the call at its gateway.
  uint64_t Call = 0;
  /// Hash of what stays the same when the caller repeats the call.
  uint64_t Hash = 0;
  int64_t Tokens = 0;
  /// Longest retry delay after which the caller is expected to return.
  Milliseconds Patience{0};
};

/// Retry delay of a call that the holder has rejected.
struct CallDelay {
  uint64_t Call = 0;
  Milliseconds RetryAfter{0};
};

/// State of a team's bucket, from which due times are computed.
struct BucketState {
  /// Tokens; negative if overdrawn.
  double Level = 0;
  /// Tokens per second.
  double Rate = 0;
  double Burst = 0;
};

/// Virtual queue of one team: rejected calls hold no connection, but a
/// reservation of tokens that is due when the calls before them have got
/// theirs.
class VirtualQueue {
public:
  /// Time after it is due for which a reservation is kept. Covers the callers'
  /// new connection and the gateway's request; tokens of callers that do not
  /// return are free after it.
  static constexpr Milliseconds ReturnWindow{250};
  /// Share of the burst up to which the bucket keeps tokens for reservations.
  /// What is above it is free, as a full bucket loses its refill: with a burst
  /// of 0.1 s of the rate, 40 % of the limit went unused without this.
  static constexpr double KeptShareOfBurst = 0.5;
  /// Bound on the memory of a team's queue.
  static constexpr size_t MaxReservations = 4000;

  /// Drops the reservations whose callers have not returned in time.
  void expire(TimePoint now);
  bool empty() const { return Reservations.empty(); }
  size_t size() const { return Reservations.size(); }
  /// Whether the call has a reservation, and whether that is due.
  bool contains(uint64_t hash) const { return ByHash.count(hash) > 0; }
  bool isDue(uint64_t hash, TimePoint now) const;
  /// When the call's reservation is due; the call must have one.
  TimePoint dueAt(uint64_t hash) const;
  /// Tokens that can be taken from the bucket now without delaying any
  /// reservation.
  double freeTokens(const BucketState &bucket, TimePoint now) const;
  /// Adds a reservation at the end of the queue, unless its delay would exceed
  /// the call's patience. Returns the delay. An existing reservation is
  /// replaced.
  Milliseconds reserve(const QueuedCall &call, const BucketState &bucket,
                       TimePoint now);
  /// Postpones the reservation of a call whose tokens are not there although it
  /// is due.
  void postpone(uint64_t hash, TimePoint due);
  void erase(uint64_t hash);

private:
  struct Reservation {
    uint64_t Hash = 0;
    double Tokens = 0;
  };
  using Queue = std::multimap<TimePoint, Reservation>;

  Queue Reservations;
  std::unordered_map<uint64_t, Queue::iterator> ByHash;
  /// Sum of the tokens of all reservations.
  double ReservedTokens = 0;
};

} // namespace Quota

#endif // QUOTA_VIRTUALQUEUE_H
