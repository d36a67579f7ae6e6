#include "faultproxy/faultproxy.h"

#include <nlohmann/json.hpp>

namespace FaultProxy {

namespace {

using Json = nlohmann::json;

Faults parseFaults(const Json &step) {
  Faults faults;
  faults.DelayMs = step.value("delay_ms", 0U);
  faults.JitterMs = step.value("jitter_ms", 0U);
  faults.Loss = step.value("loss", 0.0);
  faults.Duplicate = step.value("duplicate", 0.0);
  faults.Stalled = step.value("stalled", false);
  faults.Discard = step.value("discard", false);
  faults.CutAfterBytes = step.value("cut_after_bytes", uint64_t{0});
  faults.SwallowNext = step.value("swallow_next", 0U);
  faults.Refuse = step.value("refuse", false);
  return faults;
}

LinkSpec parseLink(const Json &link) {
  return {link.at("name").get<std::string>(),
          link.value("transport", std::string("tcp")) == "udp" ? Transport::Udp
                                                               : Transport::Tcp,
          link.at("target_port").get<uint16_t>()};
}

ScheduledFault parseStep(const Json &step) {
  bool toClient =
      step.value("direction", std::string("to_target")) == "to_client";
  return {step.at("at_ms").get<uint32_t>(), step.at("link").get<std::string>(),
          toClient ? Direction::ToClient : Direction::ToTarget,
          parseFaults(step), step.value("cut", false)};
}

} // namespace

Utils::Outcome<Schedule> parseSchedule(std::string_view text) {
  Schedule schedule;
  try {
    Json root = Json::parse(text, nullptr, true, true);
    schedule.Seed = root.value("seed", uint64_t{1});
    for (const Json &link : root.at("links"))
      schedule.Links.push_back(parseLink(link));
    for (const Json &step : root.value("steps", Json::array()))
      schedule.Steps.push_back(parseStep(step));
  } catch (const Json::exception &e) {
    return Utils::failure(Utils::Errc::InvalidArgument, e.what());
  }
  return schedule;
}

} // namespace FaultProxy
