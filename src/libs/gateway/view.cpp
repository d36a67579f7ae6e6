#include "gateway/view.h"

#include "utils/utils.h"

#include <algorithm>

namespace Gateway {

namespace {

/// Logs one event for each team whose limit is new or changed.
void logLimitChanges(const Fleet::Configuration &current,
                     const Fleet::Configuration *previous) {
  for (const Fleet::Team &team : current.Teams) {
    const Fleet::Team *oldTeam =
        previous ? previous->findTeamByName(team.Name) : nullptr;
    if (oldTeam && oldTeam->RatePerSecond == team.RatePerSecond &&
        oldTeam->Burst == team.Burst)
      continue;
    Utils::Event("limit_changed")
        .with("team", team.Name)
        .with("rate", team.RatePerSecond)
        .with("burst", team.Burst)
        .with("unit", team.CountsTokens ? "tokens" : "requests")
        .with("version", current.Version)
        .info();
  }
}

/// Entries of one version that are logged, of a configuration that may have
/// thousands.
constexpr size_t MaxLoggedEntries = 20;

void logUnreadableEntries(const Fleet::Configuration &configuration) {
  size_t logged = std::min(configuration.Unreadable.size(), MaxLoggedEntries);
  for (size_t i = 0; i < logged; ++i) {
    const Fleet::UnreadableEntry &it = configuration.Unreadable[i];
    Utils::Event("configuration_entry_unreadable")
        .with("kind", Fleet::entryKindName(it.Kind))
        .with("name", it.Name)
        .with("error", it.Error)
        .with("version", configuration.Version)
        .error();
  }
}

} // namespace

View::View(const Store &store,
           std::optional<Utils::Milliseconds> evacuationBound)
    : Source(store), Evacuations(evacuationBound) {}

void View::applyOperators(const std::vector<TopicRecord> &records,
                          bool isSnapshot,
                          std::optional<Utils::TimePoint> absentAt,
                          Utils::TimePoint now) {
  std::set<std::string> requested;
  bool changed = false;
  for (const TopicRecord &it : records) {
    if (it.Key == Source.ConfigurationKey && it.Value)
      applyConfiguration(*it.Value, now);
    auto domain = Source.EvacuatedDomain(it.Key);
    if (!domain)
      continue;
    changed |= applyEvacuation(*domain, it, absentAt, now);
    if (it.Value)
      requested.insert(*domain);
  }
  if (isSnapshot)
    for (const std::string &it : Evacuations.missingFrom(requested))
      changed |= withdrawEvacuation(it);
  if (!changed)
    return;
  logEvacuationsInForce(now);
  if (OnEvacuations)
    OnEvacuations();
}

bool View::applyEvacuation(const std::string &domain, const TopicRecord &record,
                           std::optional<Utils::TimePoint> absentAt,
                           Utils::TimePoint now) {
  if (!record.Value)
    return withdrawEvacuation(domain);
  if (!Evacuations.request(domain, absentAt, now))
    return false;
  if (auto status = Source.CheckEvacuation(*record.Value); !status)
    Utils::Event("evacuation_unreadable")
        .with("domain", domain)
        .with("error", status.error().What)
        .warning();
  const Fleet::Evacuation &added = Evacuations.all().find(domain)->second;
  Utils::Event("evacuation_requested")
      .with("domain", domain)
      .with("age_known", added.AgeKnown)
      .with("grace_ms", Utils::msBetween(now, added.InForceAt))
      .info();
  return true;
}

bool View::withdrawEvacuation(const std::string &domain) {
  if (!Evacuations.withdraw(domain))
    return false;
  Utils::Event("evacuation_withdrawn").with("domain", domain).info();
  return true;
}

void View::logEvacuationsInForce(Utils::TimePoint now) {
  for (const std::string &it : Evacuations.takeInForce(now))
    Utils::Event("evacuation_in_force").with("domain", it).info();
}

void View::applyConfiguration(const std::string &text, Utils::TimePoint now) {
  auto decoded = Source.DecodeConfiguration(text);
  if (!decoded)
    return rejectConfiguration(text, decoded.error(), now);
  uint64_t version = (*decoded)->Version;
  if (Current && version < Current->Version)
    return;
  if (version > RejectedVersion) {
    BehindSince.reset();
    RejectedText.clear();
  }
  if (Current && version == Current->Version)
    return;
  logLimitChanges(**decoded, Current.get());
  Current = *decoded;
  CurrentText = text;
  Utils::Event("configuration_applied")
      .with("version", Current->Version)
      .with("routes", Current->Routes.size())
      .with("teams", Current->Teams.size())
      .with("unreadable", Current->Unreadable.size())
      .info();
  logUnreadableEntries(*Current);
  if (OnConfiguration)
    OnConfiguration();
}

void View::rejectConfiguration(const std::string &text,
                               const Utils::Failure &failure,
                               Utils::TimePoint now) {
  auto version = Source.DecodeConfigurationVersion(text);
  bool isNewer = !version || !Current || *version > Current->Version;
  // A gateway that starts with such a record does not know since when the
  // others have had it.
  if (isNewer && !BehindSince)
    BehindSince = Current ? now : Utils::TimePoint{};
  RejectedVersion = std::max(RejectedVersion, version.value_or(0));
  if (isNewer)
    RejectedText = text;
  Utils::Event event("configuration_unreadable");
  event.with("error", failure.What)
      .with("bytes", text.size())
      .with("version_in_force", Current ? Current->Version : 0);
  if (version)
    event.with("version", *version);
  event.error();
  if (OnConfigurationRejected)
    OnConfigurationRejected();
}

void View::applyEndpoints(const std::vector<TopicRecord> &records,
                          bool isSnapshot, const Fleet::Listing &listing,
                          Utils::TimePoint now) {
  if (isSnapshot) {
    std::set<std::string_view> ids;
    for (const TopicRecord &it : records)
      if (it.Value)
        ids.insert(it.Key);
    retainEndpoints(ids, listing, now);
  }
  for (const TopicRecord &it : records)
    applyEndpoint(it, listing, now);
}

void View::retainEndpoints(const std::set<std::string_view> &ids,
                           const Fleet::Listing &listing,
                           Utils::TimePoint now) {
  std::vector<std::string> removed;
  for (const auto &[id, endpoint] : Endpoints.all())
    if (ids.count(id) == 0)
      removed.push_back(id);
  for (const std::string &id : removed)
    removeEndpoint(id, listing, now);
}

void View::removeEndpoint(const std::string &id, const Fleet::Listing &listing,
                          Utils::TimePoint now) {
  if (!Endpoints.remove(id, now, listing))
    return;
  Utils::Event("endpoint_gone").with("endpoint", id).info();
  if (OnEndpoint)
    OnEndpoint(id);
}

void View::noteLeaving(const std::string &id, int64_t startedUnixMs) {
  if (!Endpoints.markLeaving(id, startedUnixMs))
    return;
  Utils::Event("endpoint_changed")
      .with("endpoint", id)
      .with("state", "said_leaving")
      .info();
  if (OnEndpoint)
    OnEndpoint(id);
}

void View::applyEndpoint(const TopicRecord &record,
                         const Fleet::Listing &listing, Utils::TimePoint now) {
  if (!record.Value)
    return removeEndpoint(record.Key, listing, now);
  auto decoded = Source.DecodeEndpoint(record.Key, *record.Value);
  if (!decoded) {
    Utils::Event("endpoint_entry_unreadable")
        .with("endpoint", record.Key)
        .with("error", decoded.error().What)
        .warning();
    return;
  }
  applyReport(std::move(decoded.value()), listing, now);
}

void View::applyReport(Fleet::EndpointReport report,
                       const Fleet::Listing &listing, Utils::TimePoint now) {
  std::string id = report.Id;
  const Fleet::Endpoint *previous = Endpoints.find(id);
  bool known = previous != nullptr;
  auto oldState = known ? previous->Report.State : Fleet::EndpointState::Ready;
  Fleet::EndpointState newState = report.State;
  if (!Endpoints.update(std::move(report), now, listing))
    return;
  if (!known || oldState != newState)
    Utils::Event("endpoint_changed")
        .with("endpoint", id)
        .with("state",
              newState == Fleet::EndpointState::Ready ? "ready" : "draining")
        .info();
  if (OnEndpoint)
    OnEndpoint(id);
}

} // namespace Gateway
