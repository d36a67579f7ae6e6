#ifndef GATEWAY_FLEETTABLE_H
#define GATEWAY_FLEETTABLE_H

#include "fleet/fleet.h"
#include "fleetlink/fleetlink.h"
#include "gateway/tablechangelog.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

using Utils::TimePoint;

/// A gateway's replica of the holder's table: which models and adapters the
/// endpoints hold and load. Does no input or output.
class FleetTable {
public:
  /// Applies the changes in a heartbeat. `endpoints`: those that this gateway
  /// has read from the store.
  void apply(const FleetLink::Heartbeat &heartbeat,
             const Fleet::EndpointTable &endpoints, TimePoint now);
  /// Whether all entries of the table are known as of the newest heartbeat.
  bool isComplete() const { return Complete; }
  const KnownTable &known() const { return Known; }
  /// Endpoints whose entries an earlier holder sent and the present one may
  /// never have known.
  const std::set<std::string> &unconfirmed() const { return Unconfirmed; }

  /// Time from which the endpoint can run calls of the model and adapter; none
  /// if it neither holds nor loads them. For an endpoint without an entry, its
  /// own report counts.
  std::optional<TimePoint> readyAt(const Fleet::Endpoint &endpoint,
                                   const std::string &model,
                                   const std::string &adapter) const;
  /// Endpoints that hold or load the model; null while the table is incomplete.
  const std::vector<std::string> *endpointsWith(const std::string &model) const;
  bool isListed(const std::string &endpoint) const {
    return Endpoints.count(endpoint) > 0;
  }
  /// Whether the holder has sent that the endpoint accepts no new calls.
  bool isDraining(const std::string &endpoint) const;
  /// Endpoints that this gateway knows by reports from before `asOf`, and that
  /// the table does not list.
  std::vector<std::string> unlisted(const Fleet::EndpointTable &endpoints,
                                    TimePoint asOf) const;
  /// Endpoints of which this gateway has read another state in the store, or
  /// learned from their answers, than the table has.
  std::vector<std::string>
  differing(const Fleet::EndpointTable &endpoints) const;
  /// Treats the model or adapter as not ready at the endpoint until then,
  /// whatever the table says.
  void markNotReady(const std::string &endpoint, const std::string &model,
                    const std::string &adapter, TimePoint until);

private:
  /// A model at an endpoint: when it and its adapters are ready.
  struct HeldModel {
    TimePoint ReadyAt{};
    std::map<std::string, TimePoint> Adapters;
  };

  /// An endpoint as the table lists it.
  struct ListedEndpoint {
    std::map<std::string, HeldModel> Models;
    int64_t StartedUnixMs = 0;
    bool Draining = false;
  };

  void reset(const FleetLink::Heartbeat &heartbeat,
             const Fleet::EndpointTable &endpoints);
  void applyEntry(const FleetLink::EndpointEntry &entry, TimePoint now);
  bool continuesTable(const FleetLink::Heartbeat &heartbeat);
  void indexByModel();

  KnownTable Known;
  bool Complete = false;
  int64_t Token = 0;
  std::set<std::string> Unconfirmed;
  std::map<std::string, ListedEndpoint> Endpoints;
  std::map<std::string, std::vector<std::string>> EndpointsByModel;
};

} // namespace Gateway

#endif // GATEWAY_FLEETTABLE_H
