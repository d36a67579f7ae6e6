#include "gateway/gateway.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

/// How the process takes in what the store and the other gateways tell.
namespace Gateway {

namespace {

Fleet::EndpointReport toEndpointReport(const FleetLink::EndpointEntry &entry) {
  Fleet::EndpointReport out;
  out.Id = entry.Endpoint;
  out.Service = entry.Service;
  out.Address = entry.Address;
  out.FailureDomain = entry.FailureDomain;
  out.State = entry.Draining ? Fleet::EndpointState::Draining
                             : Fleet::EndpointState::Ready;
  out.Slots = entry.Slots;
  out.StartedUnixMs = entry.StartedUnixMs;
  out.Sequence = entry.Sequence;
  out.ColdRemaining = milliseconds(entry.ColdInMs);
  for (const FleetLink::ModelEntry &model : entry.Models) {
    Fleet::ResidentModel held{model.Name, 0, {}};
    for (const FleetLink::AdapterEntry &it : model.Adapters)
      held.Adapters.push_back(it.Name);
    if (model.ReadyInMs == 0)
      out.Models.push_back(std::move(held));
  }
  return out;
}

} // namespace

void Process::onHeartbeat(const FleetLink::Heartbeat &heartbeat,
                          std::optional<Utils::TimePoint> reportedAt) {
  noteFleetConfiguration(heartbeat);
  if (!State.Coordination.isHolder()) {
    applyEntries(heartbeat);
    if (reportedAt)
      noteHolderReads(heartbeat, *reportedAt);
  }
  State.PendingDispatch.retry();
}

/// Relies on the holder's reads of the store, as far as they are recent, in
/// place of reads by this gateway.
void Process::noteHolderReads(const FleetLink::Heartbeat &heartbeat,
                              Utils::TimePoint reportedAt) {
  if (heartbeat.StoreEra < NewestEra)
    return;
  ConfigurationFeed.noteHolderOffset(
      {heartbeat.StoreEra, heartbeat.OperatorsNext},
      reportedAt - milliseconds(heartbeat.OperatorsAgeMs), reportedAt);
  bool lacksRecords =
      ConfigurationFeed.lacksHolderRecords(Utils::BootClock::now());
  if (lacksRecords)
    State.Coordination.relayRecords("");
  else if (!ConfigurationLackedSince)
    State.Coordination.endRelay();
  Utils::TimePoint asOf = reportedAt - milliseconds(heartbeat.EndpointsAgeMs);
  if (!State.Coordination.member().hasCompleteTable())
    return EndpointFeed.awaitHolderSnapshot(asOf, reportedAt);
  if (asOf + MaxRelayedAge >= reportedAt)
    removeUnlisted(asOf);
  EndpointFeed.noteHolderSnapshot(asOf, reportedAt);
}

void Process::noteStoreEra(const StoreEra::Era &era) {
  if (era <= NewestEra)
    return;
  StoreEra::Era before = std::exchange(NewestEra, era);
  uint64_t configurationNext = ConfigurationFeed.next();
  uint64_t endpointsNext = EndpointFeed.next();
  Utils::TimePoint now = Utils::BootClock::now();
  ConfigurationFeed.startEra(era, now + OperatorsReturnTime, true);
  // Other gateways rely on the holder's table: all of a large fleet would
  // overload the store.
  EndpointFeed.startEra(era, now + EndpointReturnTime,
                        State.Coordination.isHolder() ||
                            EndpointFeed.isComplete());
  uint64_t dutyEnd = State.Coordination.dutyEnd();
  State.Coordination.noteStoreEra(era);
  if (!before.isKnown())
    return awaitFleetConfiguration();
  Utils::Event("store_era_changed")
      .with("era_before", StoreEra::textOf(before))
      .with("era", StoreEra::textOf(era))
      .with("configuration_next", configurationNext)
      .with("endpoints_next", endpointsNext)
      .with("duty_end", dutyEnd)
      .warning();
  State.MetricsRegistry.add("hickory_gateway_store_era_changes_total", "");
}

void Process::applyOperators(const std::vector<TopicRecord> &records,
                             bool isSnapshot) {
  Utils::TimePoint absentAt = ConfigurationFeed.completeBefore();
  State.FleetView.applyOperators(
      records, isSnapshot,
      absentAt == Utils::TimePoint{} ? std::nullopt : std::optional(absentAt),
      Utils::BootClock::now());
  State.Coordination.noteOperatorsRecords(
      withConfigurationInForce(records, isSnapshot,
                               State.Clients.PlatformStore.ConfigurationKey,
                               State.FleetView.configurationText()),
      isSnapshot);
}

bool GatewayState::lacksConfiguration() const {
  const auto &config = FleetView.configuration();
  return (config ? config->Version : 0) < FleetConfigurationVersion;
}

/// Gets a newer configuration from the gateway that has it in force if this one
/// does not soon read it from the store.
void Process::noteFleetConfiguration(const FleetLink::Heartbeat &heartbeat) {
  State.FleetConfigurationVersion = heartbeat.ConfigurationVersion;
  Utils::TimePoint now = Utils::BootClock::now();
  if (!State.lacksConfiguration()) {
    ConfigurationLackedSince.reset();
    // A new holder learns the version from the other gateways' reports.
    bool isTold =
        !State.Coordination.isHolder() || now >= FleetAnswerTimer.expiry();
    State.ConfigurationConfirmed = State.ConfigurationConfirmed || isTold;
    return;
  }
  if (!ConfigurationLackedSince)
    ConfigurationLackedSince = now;
  if (!State.ConfigurationConfirmed ||
      now >= *ConfigurationLackedSince + SlowStoreLatency)
    State.Coordination.relayRecords(heartbeat.ConfigurationAddress);
}

/// The store may have come back from an older copy before this gateway started:
/// what it holds counts only once the fleet has answered, or does not.
void Process::awaitFleetConfiguration() {
  State.ConfigurationConfirmed = false;
  FleetAnswerTimer.callAfter(FleetAnswerTime, [this] {
    if (!State.lacksConfiguration())
      State.ConfigurationConfirmed = true;
  });
}

void Process::applyRelayed(const RelayedRecords &relayed) {
  bool isWhole = ConfigurationFeed.noteRelayed(relayed.Next, relayed.AsOf);
  if (!isWhole && !State.lacksConfiguration())
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  State.MetricsRegistry.add("hickory_gateway_relayed_reads_total", "");
  Utils::Event("records_relayed")
      .with("records", relayed.Records.size())
      .with("era", StoreEra::textOf(relayed.Next.InEra))
      .with("next", relayed.Next.Offset)
      .with("age_ms", Utils::msBetween(relayed.AsOf, now))
      .with("ms", Utils::msBetween(relayed.RequestedAt, now))
      .info();
  if (isWhole)
    return applyOperators(relayed.Records, true);
  // Its offset is not newer than this gateway's: only the configuration is.
  std::vector<TopicRecord> configuration;
  for (const TopicRecord &it : relayed.Records)
    if (it.Key == State.Clients.PlatformStore.ConfigurationKey)
      configuration.push_back(it);
  applyOperators(configuration, false);
}

void Process::applyEntries(const FleetLink::Heartbeat &heartbeat) {
  Utils::TimePoint now = Utils::BootClock::now();
  for (const FleetLink::EndpointEntry &it : heartbeat.Entries)
    if (it.Removed) {
      State.FleetView.removeEndpoint(it.Endpoint, now);
    } else {
      State.FleetView.applyReport(toEndpointReport(it), now);
      if (it.Draining)
        State.FleetView.noteLeaving(it.Endpoint, it.StartedUnixMs);
    }
}

/// Removes the endpoints that the holder's table, read from the store at
/// `asOf`, does not list. A holder sends the removals that it has seen itself:
/// one that has just started does not know what its predecessor listed.
void Process::removeUnlisted(Utils::TimePoint asOf) {
  auto unlisted = State.Coordination.member().unlistedEndpoints(
      State.FleetView.endpoints(), asOf);
  Utils::TimePoint now = Utils::BootClock::now();
  for (const std::string &id : unlisted)
    State.FleetView.removeEndpoint(id, now);
}

} // namespace Gateway
