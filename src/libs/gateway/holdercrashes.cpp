#include "gateway/fleetholder.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

/// What the holder takes from the gateways' reports on the use of models and
/// on crashes of endpoints.
namespace Gateway {

namespace {

/// Interval of decisions on quarantines while no new crash is reported.
constexpr milliseconds QuarantineUpdateInterval{50};

} // namespace

void FleetHolder::recordUse(const FleetLink::ModelCalls &use,
                            Utils::TimePoint now) {
  Demand.note({use.Service, use.Model}, use.Calls, now);
  if (use.Adapter.empty())
    return;
  for (auto &[id, replica] : Replicas)
    if (auto *model =
            replica.Service == use.Service ? replica.find(use.Model) : nullptr)
      if (auto *adapter = model->findAdapter(use.Adapter))
        adapter->LastUsed = now;
}

void FleetHolder::recordCrashes(const FleetLink::Report &report,
                                Utils::TimePoint now) {
  for (const FleetLink::EndpointCrash &it : report.Crashes)
    Crashes.addCrash(toCrash(it, now));
  for (const FleetLink::PartAnswer &it : report.AnsweredParts)
    Crashes.addAnswer(it.Part, now - milliseconds(it.AgeMs));
  Crashes.adopt(fromLink(report.Quarantined, now));
  if (!report.Crashes.empty() || now >= NextQuarantineUpdateAt)
    updateQuarantines(now);
}

void FleetHolder::updateQuarantines(Utils::TimePoint now) {
  NextQuarantineUpdateAt = now + QuarantineUpdateInterval;
  // A gateway learns with the answer to its next report which parts are of
  // interest, and reports its answers of them with the one after it.
  Utils::Milliseconds answerDelay = 2 * reportInterval(liveMemberCount());
  size_t before = Crashes.quarantineCount(now);
  if (!Crashes.update(answerDelay, now))
    return;
  Utils::Event event("quarantine_decided");
  event.with("entries", Crashes.quarantineCount(now))
      .with("watched", Crashes.partsToWatch().size());
  if (!Crashes.quarantines().empty()) {
    const Quarantine::Entry &newest = Crashes.quarantines().back();
    event.with("parts", newest.Matching.size())
        .with("matching", Quarantine::textOf(newest.Matching))
        .with("period_ms", newest.Period.count());
  }
  event.warning();
  if (Crashes.quarantineCount(now) > before)
    broadcastSoon();
}

} // namespace Gateway
