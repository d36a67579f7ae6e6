#include "load/outcomes.h"

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Load {

namespace {

using Json = nlohmann::json;

Json toJson(const Outcome &it) {
  return {{"at_s", it.AtS},         {"team", it.Team},
          {"model", it.Model},      {"status", it.Status},
          {"reason", it.Reason},    {"run_state", it.RunState},
          {"first_ms", it.FirstMs}, {"total_ms", it.TotalMs},
          {"tokens", it.Tokens},    {"token_gap_ms", it.TokenGapMs},
          {"whole", it.Whole}};
}

Outcome fromJson(const Json &line) {
  Outcome it;
  it.AtS = line.at("at_s").get<double>();
  it.Team = line.at("team").get<std::string>();
  it.Model = line.at("model").get<std::string>();
  it.Status = line.at("status").get<int>();
  it.Reason = line.at("reason").get<std::string>();
  it.RunState = line.at("run_state").get<std::string>();
  it.FirstMs = line.at("first_ms").get<double>();
  it.TotalMs = line.at("total_ms").get<double>();
  it.Tokens = line.at("tokens").get<uint64_t>();
  it.TokenGapMs = line.at("token_gap_ms").get<double>();
  it.Whole = line.at("whole").get<bool>();
  return it;
}

} // namespace

void writeOutcomes(std::ostream &out, const std::vector<Outcome> &outcomes) {
  for (const Outcome &it : outcomes)
    out << toJson(it).dump() << '\n';
}

Utils::Outcome<std::vector<Outcome>> readOutcomes(std::istream &in) {
  std::vector<Outcome> outcomes;
  std::string text;
  for (size_t line = 1; std::getline(in, text); ++line) {
    try {
      outcomes.push_back(fromJson(Json::parse(text)));
    } catch (const Json::exception &e) {
      return Utils::failure(Utils::Errc::InvalidArgument,
                            "line " + std::to_string(line) + ": " + e.what());
    }
  }
  return outcomes;
}

} // namespace Load
