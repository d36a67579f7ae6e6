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

/// The reads of the store on which the holder's table is based.
Fleet::Listing listingOf(const FleetLink::Heartbeat &heartbeat) {
  StoreEra::Position next{heartbeat.StoreEra, heartbeat.EndpointsNext};
  return {next, next};
}

} // namespace

void Process::onHeartbeat(const FleetLink::Heartbeat &heartbeat,
                          std::optional<Utils::TimePoint> reportedAt) {
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
    removeUnlisted(heartbeat, asOf);
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
  if (!before.isKnown()) {
    // Nothing is older than the first start of the fleet.
    if (!State.Settings.FirstStart)
      State.NewestConfiguration.begin(now);
    return noteDutyRecord();
  }
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
                               {State.FleetView.configurationText(),
                                State.FleetView.rejectedText()}),
      isSnapshot);
}

uint64_t GatewayState::configurationVersion() const {
  const auto &config = FleetView.configuration();
  return config ? config->Version : 0;
}

uint64_t GatewayState::versionForCheck() const {
  uint64_t rejected = FleetView.rejectedVersion();
  return rejected == NewestConfiguration.newestVersion()
             ? std::max(rejected, configurationVersion())
             : configurationVersion();
}

bool GatewayState::lacksConfiguration() const {
  return NewestConfiguration.lacks(versionForCheck(), Utils::BootClock::now());
}

void Process::noteConfigurationState(const std::string &address,
                                     const std::string &owner,
                                     const ConfigurationState &state) {
  State.NewestConfiguration.noteState(address, owner, state,
                                      Utils::BootClock::now());
  checkConfiguration();
}

/// Takes from the record of the duty whom to ask for the newest version.
void Process::noteDutyRecord() {
  const auto &record = State.Coordination.dutyRecord();
  std::vector<std::string> gateways;
  bool areAll = false;
  bool isCurrent = false;
  if (record) {
    gateways = record->Peers;
    gateways.push_back(record->Address);
    areAll = record->Members > 0 && gateways.size() >= record->Members;
    isCurrent = record->InEra == NewestEra;
    std::erase(gateways, State.Coordination.address());
  }
  State.NewestConfiguration.setGateways(std::move(gateways), areAll, isCurrent,
                                        Utils::BootClock::now());
  checkConfiguration();
}

/// Gets a newer configuration from the gateway that has it in force if this one
/// does not soon read it from the store, and asks for it after a start.
void Process::checkConfiguration() {
  ConfigurationCheck &check = State.NewestConfiguration;
  Utils::TimePoint now = Utils::BootClock::now();
  uint64_t own = State.versionForCheck();
  if (check.update(own, now))
    Utils::Event("configuration_confirmed")
        .with("version", own)
        .with("how", confirmationName(check.confirmation()))
        .info();
  for (const std::string &it : check.takeQuestions(now))
    State.Coordination.askConfiguration(it);
  if (TimePoint next = check.nextAt(); next < TimePoint::max())
    ConfigurationTimer.callAt(next, [this] { checkConfiguration(); });
  if (!check.lacks(own, now)) {
    ConfigurationLackedSince.reset();
    return;
  }
  if (!ConfigurationLackedSince)
    ConfigurationLackedSince = now;
  bool hasReadOlder =
      !check.isConfirmed() && State.FleetView.configuration() != nullptr;
  if (hasReadOlder || now >= *ConfigurationLackedSince + SlowStoreLatency)
    State.Coordination.relayRecords(check.newestAddress());
}

void Process::applyRelayed(const RelayedRecords &transferred) {
  RelayedRecords relayed = transferred;
  const std::string &key = State.Clients.PlatformStore.ConfigurationKey;
  for (TopicRecord &it : relayed.Records)
    if (it.Key == unreadableKey(key)) // Behind the one in force.
      it.Key = key;
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
    return applyOperators(relayed.Records, !ConfigurationFeed.isRetaining(now));
  // Its offset is not newer than this gateway's: only the configuration is.
  std::vector<TopicRecord> configuration;
  for (const TopicRecord &it : relayed.Records)
    if (it.Key == key)
      configuration.push_back(it);
  applyOperators(configuration, false);
}

void Process::applyEntries(const FleetLink::Heartbeat &heartbeat) {
  Utils::TimePoint now = Utils::BootClock::now();
  Fleet::Listing listing = listingOf(heartbeat);
  for (const FleetLink::EndpointEntry &it : heartbeat.Entries)
    if (it.Removed) {
      State.FleetView.removeEndpoint(it.Endpoint, listing, now);
    } else {
      State.FleetView.applyReport(toEndpointReport(it), listing, now);
      if (it.Draining)
        State.FleetView.noteLeaving(it.Endpoint, it.StartedUnixMs);
    }
  applyWithheld(listing);
}

/// Applies the reports that were withheld as the holder might not have known of
/// a removal, if it has read on since and lists the endpoints still.
void Process::applyWithheld(const Fleet::Listing &listing) {
  const FleetMember &member = State.Coordination.member();
  if (!member.hasCompleteTable())
    return;
  Utils::TimePoint now = Utils::BootClock::now();
  std::map<std::string, Fleet::EndpointReport> withheld =
      State.FleetView.endpoints().withheld();
  for (auto &[id, report] : withheld)
    if (member.isListed(id))
      State.FleetView.applyReport(std::move(report), listing, now);
}

/// Removes the endpoints that the holder's table, read from the store at
/// `asOf`, does not list. A holder sends the removals that it has seen itself:
/// one that has just started does not know what its predecessor listed.
void Process::removeUnlisted(const FleetLink::Heartbeat &heartbeat,
                             Utils::TimePoint asOf) {
  auto unlisted = State.Coordination.member().unlistedEndpoints(
      State.FleetView.endpoints(), asOf);
  Utils::TimePoint now = Utils::BootClock::now();
  for (const std::string &id : unlisted)
    State.FleetView.removeEndpoint(id, listingOf(heartbeat), now);
}

} // namespace Gateway
