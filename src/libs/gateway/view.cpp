#include "gateway/view.h"

#include "utils/utils.h"

namespace Gateway {

namespace {

/// One line for each team whose limit is new or another one than before.
void reportLimits(const Fleet::Configuration &now,
                  const Fleet::Configuration *before) {
  for (const Fleet::Team &team : now.Teams) {
    const Fleet::Team *old =
        before ? before->findTeamByName(team.Name) : nullptr;
    if (old && old->RatePerSecond == team.RatePerSecond &&
        old->Burst == team.Burst)
      continue;
    Utils::Event("limit_changed")
        .with("team", team.Name)
        .with("rate", team.RatePerSecond)
        .with("burst", team.Burst)
        .with("unit", team.CountsTokens ? "tokens" : "requests")
        .with("version", now.Version)
        .info();
  }
}

} // namespace

View::View(const Store &store) : Source(store) {}

void View::takeOperators(const std::vector<TopicRecord> &records) {
  for (const TopicRecord &it : records)
    if (it.Key == Source.ConfigurationKey && it.Value)
      takeConfiguration(*it.Value);
}

void View::takeConfiguration(const std::string &text) {
  auto decoded = Source.DecodeConfiguration(text);
  if (!decoded) {
    Utils::Event("configuration_unreadable")
        .with("error", decoded.error().What)
        .error();
    return;
  }
  if (Current && (*decoded)->Version <= Current->Version)
    return;
  reportLimits(**decoded, Current.get());
  Current = *decoded;
  Utils::Event("configuration_applied")
      .with("version", Current->Version)
      .with("routes", Current->Routes.size())
      .with("teams", Current->Teams.size())
      .info();
  if (OnConfiguration)
    OnConfiguration();
}

void View::takeEndpoints(const std::vector<TopicRecord> &records, bool whole,
                         Utils::TimePoint now) {
  if (whole) {
    std::set<std::string_view> ids;
    for (const TopicRecord &it : records)
      if (it.Value)
        ids.insert(it.Key);
    retainEndpoints(ids, now);
  }
  for (const TopicRecord &it : records)
    takeEndpoint(it, now);
}

void View::retainEndpoints(const std::set<std::string_view> &ids,
                           Utils::TimePoint now) {
  std::vector<std::string> gone;
  for (const auto &[id, endpoint] : Endpoints.all())
    if (ids.count(id) == 0)
      gone.push_back(id);
  for (const std::string &id : gone)
    removeEndpoint(id, now);
}

void View::removeEndpoint(const std::string &id, Utils::TimePoint now) {
  if (!Endpoints.remove(id, now))
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

void View::takeEndpoint(const TopicRecord &record, Utils::TimePoint now) {
  if (!record.Value)
    return removeEndpoint(record.Key, now);
  auto decoded = Source.DecodeEndpoint(record.Key, *record.Value);
  if (!decoded) {
    Utils::Event("endpoint_entry_unreadable")
        .with("endpoint", record.Key)
        .with("error", decoded.error().What)
        .warning();
    return;
  }
  takeReport(std::move(decoded.value()), now);
}

void View::takeReport(Fleet::EndpointReport report, Utils::TimePoint now) {
  std::string id = report.Id;
  const Fleet::Endpoint *before = Endpoints.find(id);
  bool known = before != nullptr;
  auto oldState = known ? before->Report.State : Fleet::EndpointState::Ready;
  Fleet::EndpointState newState = report.State;
  if (!Endpoints.update(std::move(report), now))
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
