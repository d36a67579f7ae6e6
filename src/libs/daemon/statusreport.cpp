#include "daemon/statusreport.h"

#include "daemon/admit.h"
#include "daemon/peerduty.h"

#include <nlohmann/json.hpp>

namespace Daemon::Internal {

namespace {

using Json = nlohmann::json;

int64_t msSince(const Context &context, Utils::TimePoint at) {
  return Utils::msBetween(at, context.Clock.Now());
}

Json replicasJson(const History::State &state) {
  Json list = Json::array();
  for (const auto &[id, it] : state.Replicas)
    list.push_back({{"replica", id},
                    {"model", it.Model},
                    {"endpoint", it.Endpoint},
                    {"memory_mb", it.MemoryMb},
                    {"phase", History::replicaPhaseName(it.Phase)},
                    {"decision", it.Decision}});
  return list;
}

Json leasesJson(const History::State &state) {
  Json list = Json::array();
  for (const auto &[duty, it] : state.Leases)
    list.push_back(
        {{"duty", duty}, {"holder", it.Holder}, {"fence", it.Fence}});
  return list;
}

Json loadJson(const Context &context, const std::string &endpoint) {
  auto reading = context.Loads.reading(endpoint);
  if (!reading)
    return nullptr;
  return {{"requests", reading->Load},
          {"age_ms", msSince(context, reading->At)}};
}

Json endpointsJson(const Context &context, const History::State &state) {
  Json list = Json::array();
  for (const auto &[name, it] : state.Endpoints)
    list.push_back({{"endpoint", name},
                    {"state", History::endpointLifeName(it.Life)},
                    {"failure_domain", it.FailureDomain},
                    {"memory_mb", it.MemoryMb},
                    {"charged_mb", it.ChargedMb},
                    {"load", loadJson(context, name)}});
  return list;
}

/// How often the trail of orders, which is bounded, names each outcome.
Json recentOutcomesJson(const History::State &state) {
  Json counts = Json::object();
  for (const History::AuditEntry &it : state.OrderAudit)
    if (it.What.rfind("order ", 0) == 0)
      counts[it.After] = counts.value(it.After, 0) + 1;
  return counts;
}

Json readingJson(const Context &context,
                 const std::optional<Peers::LogReading> &reading) {
  if (!reading)
    return nullptr;
  return {{"age_ms", msSince(context, reading->At)}, {"end", reading->End}};
}

Json membersJson(const Context &context) {
  Json list = Json::array();
  for (const Peers::MemberView &it : context.Node->members()) {
    Json member = {
        {"daemon", it.Name},
        {"status", Peers::memberStatusName(it.Status)},
        {"address", it.Where.Host + ":" + std::to_string(it.Where.Port)},
        {"failure_domain", it.FailureDomain},
        {"incarnation", it.Incarnation},
        {"log_offset", it.Applied}};
    if (it.LogLostSince)
      member["log_lost_ms"] = msSince(context, *it.LogLostSince);
    list.push_back(std::move(member));
  }
  return list;
}

Json currencyJson(Context &context) {
  Json currency = {
      {"currency", currencyName(currencyOf(context))},
      {"own_reading", readingJson(context, context.Contact->own(UINT64_MAX))},
      {"told_reading", readingJson(context, context.Contact->told(UINT64_MAX))},
      {"log_lost_ms", nullptr}};
  if (auto since = context.Contact->lostSince())
    currency["log_lost_ms"] = msSince(context, *since);
  return currency;
}

} // namespace

std::string statusJson(Context &context) {
  Json status = context.Store.read([&](const History::State &state) {
    return Json{{"daemon", context.Settings.Name},
                {"failure_domain", context.Settings.FailureDomain},
                {"log_offset", state.NextOffset},
                {"applied", state.Applied},
                {"rows", state.Table.Rows.size()},
                {"teams", state.Table.Teams.size()},
                {"orders", state.Orders.size()},
                {"recent_order_outcomes", recentOutcomesJson(state)},
                {"skipped_records", state.SkippedRecords},
                {"leases", leasesJson(state)},
                {"endpoints", endpointsJson(context, state)},
                {"replicas", replicasJson(state)}};
  });
  status["incarnation"] = context.Node->incarnation();
  status["members"] = membersJson(context);
  status["history"] = currencyJson(context);
  auto own = context.Contact->own(UINT64_MAX);
  if (context.Admission) {
    status["requests_waiting"] = context.Admission->admission().waiting();
    LinkView link = context.Admission->limits().link();
    status["limits"] = {{"link", linkName(link.Link)},
                        {"for_ms", msSince(context, link.Since)}};
  }
  status["log_silent_ms"] = own ? Json(msSince(context, own->At)) : Json();
  return status.dump(2) + "\n";
}

std::string auditJson(Context &context, AuditTrail trail) {
  Json list = context.Store.read([trail](const History::State &state) {
    Json entries = Json::array();
    for (const History::AuditEntry &it :
         trail == AuditTrail::Orders ? state.OrderAudit : state.Audit)
      entries.push_back({{"position", it.At},
                         {"offset", History::offsetOf(it.At)},
                         {"wall_ms", it.WallMs},
                         {"actor", it.Actor},
                         {"what", it.What},
                         {"before", it.Before},
                         {"after", it.After},
                         {"accepted", it.Accepted},
                         {"reason", it.Reason}});
    return entries;
  });
  return list.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace Daemon::Internal
