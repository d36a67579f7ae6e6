#include "load/loadplan.h"

namespace Load {

namespace {

CallKind kindOf(const std::string &name) {
  if (name == "order")
    return CallKind::Order;
  return name == "service" ? CallKind::Service : CallKind::Model;
}

TeamLoad parseTeam(const Json &it) {
  TeamLoad team;
  team.Name = it.at("name").get<std::string>();
  team.Key = it.value("key", std::string());
  team.Kind = kindOf(it.value("kind", std::string("model")));
  team.ArrivalsPerS = it.at("arrivals_per_s").get<double>();
  for (const Json &burst : it.value("bursts", Json::array()))
    team.Bursts.push_back({burst.at("at_s").get<double>(),
                           burst.at("for_s").get<double>(),
                           burst.at("factor").get<double>()});
  team.Models = it.value("models", std::vector<std::string>());
  team.ZipfExponent = it.value("zipf_exponent", team.ZipfExponent);
  team.Path = it.value("path", std::string());
  team.DeadlineMs = it.value("deadline_ms", team.DeadlineMs);
  team.MaxTokens = it.value("max_tokens", team.MaxTokens);
  team.Stream = it.value("stream", false);
  team.RateTokensPerS = it.value("rate_tokens_per_s", uint64_t{0});
  team.BurstTokens = it.value("burst_tokens", uint64_t{0});
  return team;
}

std::string contradiction(const Plan &plan) {
  if (plan.Targets.empty())
    return "targets: found none, at least one is needed";
  if (plan.DurationS <= 0)
    return "duration_s: found 0 or less";
  for (const TeamLoad &team : plan.Teams) {
    if (team.Kind == CallKind::Model && team.Models.empty())
      return "teams." + team.Name + ".models: found none";
    if (team.Kind != CallKind::Model && team.Path.empty())
      return "teams." + team.Name + ".path: found none";
  }
  return "";
}

} // namespace

Utils::Outcome<Plan> parsePlan(std::string_view text) {
  Plan plan;
  try {
    Json root = Json::parse(text, nullptr, true, true);
    plan.Seed = root.value("seed", plan.Seed);
    plan.DurationS = root.at("duration_s").get<double>();
    plan.Workers = root.value("workers", plan.Workers);
    plan.Targets = root.at("targets").get<std::vector<std::string>>();
    for (const Json &it : root.at("teams"))
      plan.Teams.push_back(parseTeam(it));
    for (const Json &it : root.value("faults", Json::array()))
      plan.Faults.push_back({it.at("at_s").get<double>(),
                             it.at("address").get<std::string>(),
                             it.at("body")});
  } catch (const Json::exception &e) {
    return Utils::failure(Utils::Errc::InvalidArgument, e.what());
  }
  if (std::string what = contradiction(plan); !what.empty())
    return Utils::failure(Utils::Errc::InvalidArgument, what);
  return plan;
}

} // namespace Load
