#ifndef GATEWAY_ENDPOINTLIMITS_H
#define GATEWAY_ENDPOINTLIMITS_H

#include "fleet/fleet.h"
#include "fleetlink/fleetlink.h"
#include "gateway/gatewaysettings.h"
#include "quota/tokenbucket.h"
#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Gateway {

using Utils::TimePoint;

/// A limit on the calls that an endpoint takes from all gateways together.
struct EndpointLimit {
  /// Hash of the endpoint's id.
  uint32_t Endpoint = 0;
  /// Calls per second; 0 if the endpoint has stopped naming a limit.
  double Rate = 0;
  /// When an answer of the endpoint last said so.
  TimePoint StatedAt{};
};

FleetLink::EndpointLimit toLink(const EndpointLimit &limit, TimePoint now);
EndpointLimit fromLink(const FleetLink::EndpointLimit &limit, TimePoint now);

/// Limit on the calls to the endpoint while it is cold; unlimited if its
/// service sets none, or is not known. `config` may be null.
Quota::Limit coldLimitOf(const Fleet::Endpoint &endpoint,
                         const Fleet::Configuration *config,
                         const GatewaySettings &settings);

/// The limits that endpoints name in their answers, and those of cold
/// endpoints. For each endpoint, the newest statement that any gateway has
/// received counts; if it is cold too, the lower limit. Does no input or
/// output.
class EndpointLimits {
public:
  /// An answer of the endpoint named a limit. Returns whether the limit is new
  /// or different.
  bool noteLimit(uint32_t endpoint, double rate, TimePoint now);
  /// An answer of the endpoint named no limit. Returns whether that ends one.
  bool noteNoLimit(uint32_t endpoint, TimePoint now);
  /// Takes over a newer statement. Returns whether the limit is new, different
  /// or ended.
  bool merge(const EndpointLimit &limit);
  /// The holder still lists the limits that are known here: they do not lapse.
  void confirm(TimePoint now) { ConfirmedAt = now; }
  /// Statements that are not out of date, for other gateways.
  std::vector<EndpointLimit> statements(TimePoint now) const;
  /// All statements, whether or not out of date.
  std::vector<EndpointLimit> all() const;
  /// Endpoints with a statement, and those that have a limit while cold.
  std::vector<uint32_t> endpoints() const;
  /// Limit of the endpoint in calls per second; 0 if it has none.
  double rateOf(uint32_t endpoint, TimePoint now) const;

  /// Sets the limit that the endpoint has while it is cold, and until when it
  /// is; in the past if it is warm. Returns whether it has become cold or warm,
  /// or its limit while cold has changed.
  bool setCold(uint32_t endpoint, const Quota::Limit &limit, TimePoint until,
               TimePoint now);
  bool isCold(uint32_t endpoint, TimePoint now) const;
  size_t coldCount(TimePoint now) const;
  /// Returns, once, the endpoints whose cold time has ended.
  std::vector<uint32_t> takeWarmed(TimePoint now);
  /// End of the endpoint's limit, if that ends with its cold time.
  std::optional<TimePoint> endOfLimit(uint32_t endpoint, TimePoint now) const;
  /// Limit in force: the lower of the named one and that of a cold endpoint.
  Quota::Limit limitOf(uint32_t endpoint, TimePoint now) const;
  /// Limit by which the holder grants calls: that in force, or else that of the
  /// cold endpoint, as another gateway may know sooner that it is cold.
  Quota::Limit grantLimitOf(uint32_t endpoint, TimePoint now) const;

private:
  struct ColdEndpoint {
    Quota::Limit Limit;
    TimePoint Until{};
    /// takeWarmed() has not returned it yet.
    bool Pending = false;
  };
  double namedRate(uint32_t endpoint, TimePoint now) const;
  bool isCurrent(const EndpointLimit &limit, TimePoint now) const;

  std::map<uint32_t, EndpointLimit> Limits;
  TimePoint ConfirmedAt{};
  std::map<uint32_t, ColdEndpoint> ColdEndpoints;
  /// Earliest time at which takeWarmed() has something to return.
  TimePoint NextWarmAt = TimePoint::max();
};

} // namespace Gateway

#endif // GATEWAY_ENDPOINTLIMITS_H
