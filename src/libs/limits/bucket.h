#ifndef LIMITS_BUCKET_H
#define LIMITS_BUCKET_H

#include "limits/holder.h"

namespace Limits::Internal {

using Wide = __int128;

inline constexpr int64_t NanoPerToken = 1'000'000'000;
inline constexpr int64_t NanosPerMs = 1'000'000;

int64_t nanosBetween(Utils::TimePoint from, Utils::TimePoint to);

/// Most that the level may be beside what is outstanding, in units of 1e-9
/// tokens.
int64_t roomNano(const Bucket &bucket);

/// Counts the accounts past their deadline as delivered, and fills the bucket.
void advance(Bucket &bucket, const Policy &policy, Utils::TimePoint now);

/// Gives the account a new deadline.
void renew(Bucket &bucket, Account &account, const Policy &policy,
           Utils::TimePoint now);

} // namespace Limits::Internal

#endif // LIMITS_BUCKET_H
