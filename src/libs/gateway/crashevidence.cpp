#include "gateway/crashevidence.h"

#include "gateway/gatewayconstants.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// How long crashes are kept: as long as they decide anything.
constexpr std::chrono::seconds EvidenceLifetime{60};
/// Bounds of a report: crashes, and calls of one crash. More than that arrive
/// with the next reports, or from other gateways.
constexpr size_t MaxCrashesInReport = 8;
constexpr size_t MaxSuspectsInReport = 32;
/// Most crashes that are kept.
constexpr size_t MaxOwnCrashes = 64;

uint32_t ageMs(TimePoint at, TimePoint now) {
  return uint32_t(std::max<int64_t>(0, Utils::msBetween(at, now)));
}

/// A lapsed entry does not state since when: half of its period ago lies after
/// the crashes from which it was decided.
TimePoint untilOf(const FleetLink::QuarantinedParts &entry, TimePoint now) {
  if (entry.RemainingMs == 0)
    return now - milliseconds(entry.PeriodMs) / 2;
  return now + milliseconds(entry.RemainingMs);
}

FleetLink::EndpointCrash toLink(const Quarantine::Crash &crash, TimePoint now) {
  FleetLink::EndpointCrash out{crash.Endpoint, ageMs(crash.At, now), {}};
  for (const Quarantine::Suspect &it : crash.Suspects)
    if (out.Suspects.size() < MaxSuspectsInReport)
      out.Suspects.push_back({ageMs(it.SentAt, now), it.Shared});
  return out;
}

} // namespace

Quarantine::Crash toCrash(const FleetLink::EndpointCrash &crash,
                          TimePoint now) {
  Quarantine::Crash out{crash.Endpoint, now - milliseconds(crash.AgeMs), {}};
  for (const FleetLink::SuspectCall &it : crash.Suspects)
    out.Suspects.push_back({it.Parts, now - milliseconds(it.SentAgeMs)});
  return out;
}

std::vector<FleetLink::QuarantinedParts>
toLink(const std::vector<Quarantine::Entry> &entries, TimePoint now) {
  std::vector<FleetLink::QuarantinedParts> out;
  out.reserve(entries.size());
  for (const Quarantine::Entry &it : entries)
    out.push_back(
        {it.Matching, ageMs(now, it.Until), uint32_t(it.Period.count())});
  return out;
}

std::vector<Quarantine::Entry>
fromLink(const std::vector<FleetLink::QuarantinedParts> &entries,
         TimePoint now) {
  std::vector<Quarantine::Entry> out;
  for (const FleetLink::QuarantinedParts &it : entries)
    if (out.size() < Quarantine::MaxEntries && !it.Parts.empty())
      out.push_back({it.Parts, untilOf(it, now), milliseconds(it.PeriodMs)});
  return out;
}

void CrashEvidence::addCrash(const Quarantine::Crash &crash, bool hasHolder,
                             TimePoint now) {
  std::erase_if(Crashes, [&](const OwnCrash &it) {
    return it.Seen.At + EvidenceLifetime < now;
  });
  Crashes.push_back({crash, 0});
  if (Crashes.size() > MaxOwnCrashes)
    Crashes.pop_front();
  Alone.addCrash(crash);
  // The holder learns of a renewal with the next report.
  if (Quarantine::renewLapsed(Entries, crash, now))
    EntriesSentSequence = 0;
  if (!hasHolder)
    decideAlone(now);
}

/// Decides by what this gateway alone has seen.
void CrashEvidence::decideAlone(TimePoint now) {
  // An entry of the former holder that has lapsed may have to be renewed.
  Alone.adopt(Entries);
  for (Quarantine::Part part : Alone.partsAtCrashes())
    if (auto at = Answers.find(part))
      Alone.addAnswer(part, *at);
  if (!Alone.update(Utils::Milliseconds(0), now))
    return;
  Quarantine::merge(Entries, Alone.quarantines());
  EntriesSentSequence = 0;
}

void CrashEvidence::addAnswer(const Quarantine::Parts &parts,
                              TimePoint beganAt) {
  for (Quarantine::Part it : parts)
    Answers.add(it, beganAt);
}

bool CrashEvidence::isSuspected(Quarantine::Part part, TimePoint now) const {
  auto hasPart = [&](const Quarantine::Parts &parts) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  bool isKnown = hasPart(Watched) || std::any_of(Entries.begin(), Entries.end(),
                                                 [&](const auto &it) {
                                                   return hasPart(it.Matching);
                                                 });
  if (isKnown)
    return true;
  TimePoint answeredAt = Answers.find(part).value_or(TimePoint{});
  return std::any_of(Crashes.begin(), Crashes.end(), [&](const OwnCrash &it) {
    const auto &calls = it.Seen.Suspects;
    return it.Seen.At > std::max(answeredAt, now - EvidenceLifetime) &&
           std::any_of(calls.begin(), calls.end(),
                       [&](const auto &call) { return hasPart(call.Shared); });
  });
}

std::optional<TimePoint>
CrashEvidence::quarantinedUntil(const Quarantine::Parts &parts,
                                TimePoint now) const {
  return Quarantine::quarantinedUntil(Entries, parts, now);
}

void CrashEvidence::addTo(FleetLink::Report &report, int64_t holderToken,
                          TimePoint now) {
  if (std::exchange(HolderToken, holderToken) != holderToken) {
    EntriesSentSequence = AckedSequence = 0;
    for (OwnCrash &it : Crashes)
      it.SentSequence = 0;
  }
  auto isAcked = [&](uint64_t sent) {
    return sent > 0 && sent <= AckedSequence;
  };
  for (OwnCrash &it : Crashes) {
    if (isAcked(it.SentSequence) || it.Seen.At + EvidenceLifetime < now ||
        report.Crashes.size() >= MaxCrashesInReport)
      continue;
    report.Crashes.push_back(toLink(it.Seen, now));
    if (it.SentSequence == 0)
      it.SentSequence = report.Sequence;
  }
  if (!isAcked(EntriesSentSequence)) {
    report.Quarantined = toLink(Entries, now);
    if (EntriesSentSequence == 0)
      EntriesSentSequence = report.Sequence;
  }
  for (Quarantine::Part part : Watched)
    if (auto at = Answers.find(part))
      report.AnsweredParts.push_back({part, ageMs(*at, now)});
}

bool CrashEvidence::apply(const FleetLink::Heartbeat &heartbeat,
                          TimePoint now) {
  size_t before = Quarantine::countInForce(Entries, now);
  Watched = heartbeat.WatchedParts;
  auto entries = fromLink(heartbeat.Quarantined, now);
  bool knowsOwn = false;
  if (heartbeat.Token == HolderToken) {
    AckedSequence = std::max(AckedSequence, heartbeat.Sequence);
    knowsOwn = EntriesSentSequence > 0 && EntriesSentSequence <= AckedSequence;
  }
  // A holder that has not received this gateway's quarantines does not lift
  // them by not naming them.
  if (knowsOwn)
    Entries = std::move(entries);
  else
    Quarantine::merge(Entries, entries);
  return Quarantine::countInForce(Entries, now) != before;
}

} // namespace Gateway
