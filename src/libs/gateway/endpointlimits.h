#ifndef GATEWAY_ENDPOINTLIMITS_H
#define GATEWAY_ENDPOINTLIMITS_H

#include "fleetlink/fleetlink.h"
#include "utils/clock.h"

#include <cstdint>
#include <map>
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

/// The limits that endpoints name in their answers. For each endpoint, the
/// newest statement that any gateway has received counts. Does no input or
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
  /// Limit of the endpoint in calls per second; 0 if it has none.
  double rateOf(uint32_t endpoint, TimePoint now) const;

private:
  bool isCurrent(const EndpointLimit &limit, TimePoint now) const;

  std::map<uint32_t, EndpointLimit> Limits;
  TimePoint ConfirmedAt{};
};

} // namespace Gateway

#endif // GATEWAY_ENDPOINTLIMITS_H
