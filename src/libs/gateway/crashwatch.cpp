#include "gateway/crashwatch.h"

#include "fleetlink/fleetlink.h"
#include "utils/utils.h"

#include <utility>

namespace Gateway {

namespace {

/// Most requests that the event of a crash names.
constexpr size_t MaxLoggedRequests = 16;

Quarantine::Parts requestsOf(const Quarantine::Crash &crash) {
  Quarantine::Parts out;
  for (const Quarantine::Suspect &it : crash.Suspects)
    for (Quarantine::Part part : it.Shared)
      if (Quarantine::isRequest(part) && out.size() < MaxLoggedRequests)
        out.push_back(part);
  return out;
}

} // namespace

void CrashWatch::onBrokenOff(const std::string &endpoint,
                             const std::string &address,
                             Quarantine::Suspect call) {
  auto [it, isNew] = Checking.try_emplace(endpoint);
  it->second.Suspects.push_back(std::move(call));
  if (!isNew)
    return;
  it->second.Endpoint = FleetLink::hashName(endpoint);
  it->second.At = Utils::BootClock::now();
  std::error_code ec;
  auto peer = HttpIo::parseEndpoint(address, ec);
  if (ec) { // Reported when the call was sent.
    Checking.erase(it);
    return;
  }
  HttpIo::checkConnect(Loop, peer,
                       [this, endpoint](HttpIo::ConnectResult result) {
                         onChecked(endpoint, result);
                       });
}

void CrashWatch::onChecked(const std::string &endpoint,
                           HttpIo::ConnectResult result) {
  auto checked = Checking.extract(endpoint);
  // An endpoint that does not answer may be cut off, which says nothing about
  // the calls that it had.
  if (result != HttpIo::ConnectResult::Refused)
    return;
  const Quarantine::Crash &crash = checked.mapped();
  Utils::Event("endpoint_crashed")
      .with("endpoint", endpoint)
      .with("unanswered", crash.Suspects.size())
      .with("requests", Quarantine::textOf(requestsOf(crash)))
      .warning();
  if (OnCrash)
    OnCrash(crash);
}

} // namespace Gateway
