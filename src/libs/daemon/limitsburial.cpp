#include "daemon/limitsburial.h"

#include "lease/lease.h"
#include "lease/outage.h"

namespace Daemon::Internal {

bool mayRecordGone(const Context &context, const std::string &silent) {
  constexpr double million = 1e6;
  Lease::Policy policy;
  policy.ClockRateError = context.Settings.ClockRateErrorPpm / million;
  Lease::Burial burial{context.Settings.Name, silent, {}, {}, {}};
  burial.ContactSince = context.Contact->contactSince();
  context.Store.read([&](const History::State &state) {
    burial.Members = state.Members;
    burial.Leases = state.Leases;
    return 0;
  });
  return Lease::mayRecordGone(burial,
                              Utils::Milliseconds(context.Settings.CurrencyMs),
                              policy, context.Clock.Now());
}

} // namespace Daemon::Internal
