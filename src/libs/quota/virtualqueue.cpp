#include "quota/virtualqueue.h"

#include <algorithm>
#include <cmath>

namespace Quota {

namespace {

constexpr Milliseconds MinDelay{1};
/// The demand cannot be predicted further ahead.
constexpr Milliseconds MaxDelay{10'000};

double secondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

} // namespace

void VirtualQueue::expire(TimePoint now) {
  while (!Reservations.empty() &&
         now >= Reservations.begin()->first + ReturnWindow)
    erase(Reservations.begin()->second.Hash);
}

bool VirtualQueue::isDue(uint64_t hash, TimePoint now) const {
  auto it = ByHash.find(hash);
  return it != ByHash.end() && it->second->first <= now;
}

TimePoint VirtualQueue::dueAt(uint64_t hash) const {
  return ByHash.at(hash)->first;
}

double VirtualQueue::freeTokens(const BucketState &bucket,
                                TimePoint now) const {
  double available = bucket.Level;
  double lowest = bucket.Level;
  double reserved = 0;
  for (const auto &[due, it] : Reservations) {
    if (due > now)
      available = bucket.Level + bucket.Rate * secondsBetween(now, due);
    reserved += it.Tokens;
    lowest = std::min(lowest, available - reserved);
    if (lowest <= 0)
      break; // Nothing is free.
  }
  return std::max(lowest, bucket.Level - bucket.Burst * KeptShareOfBurst);
}

Milliseconds VirtualQueue::reserve(const QueuedCall &call,
                                   const BucketState &bucket, TimePoint now) {
  erase(call.Hash);
  // A full bucket suffices for one call of any size.
  double tokens = std::min(double(call.Tokens), bucket.Burst);
  double missing = std::max(0.0, ReservedTokens + tokens - bucket.Level);
  Milliseconds delay = MaxDelay;
  if (missing * 1000 < bucket.Rate * double(MaxDelay.count()))
    delay = std::max(MinDelay, Milliseconds(int64_t(
                                   std::ceil(missing * 1000 / bucket.Rate))));
  if (delay > call.Patience || Reservations.size() >= MaxReservations)
    return delay;
  auto added =
      Reservations.emplace(now + delay, Reservation{call.Hash, tokens});
  ByHash[call.Hash] = added;
  ReservedTokens += tokens;
  return delay;
}

void VirtualQueue::postpone(uint64_t hash, TimePoint due) {
  auto it = ByHash.find(hash);
  if (it == ByHash.end())
    return;
  Reservation moved = it->second->second;
  Reservations.erase(it->second);
  it->second = Reservations.emplace(due, moved);
}

void VirtualQueue::erase(uint64_t hash) {
  auto it = ByHash.find(hash);
  if (it == ByHash.end())
    return;
  ReservedTokens -= it->second->second.Tokens;
  Reservations.erase(it->second);
  ByHash.erase(it);
  if (Reservations.empty())
    ReservedTokens = 0; // Drops rounding errors.
}

} // namespace Quota
