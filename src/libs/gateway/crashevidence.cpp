#include "gateway/crashevidence.h"

#include "gateway/gatewayconstants.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// How long crashes and answers are kept: as long as they decide anything.
constexpr std::chrono::seconds EvidenceLifetime{60};
constexpr std::chrono::seconds AnswerCheckInterval{1};
/// Bounds of a report: crashes, and calls of one crash. More than that arrive
/// with the next reports, or from other gateways.
constexpr size_t MaxCrashesInReport = 8;
constexpr size_t MaxSuspectsInReport = 32;
/// Most crashes that are kept.
constexpr size_t MaxOwnCrashes = 64;

uint32_t ageMs(TimePoint at, TimePoint now) {
  return uint32_t(std::max<int64_t>(0, Utils::msBetween(at, now)));
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
  for (const Quarantine::Entry &it : entries)
    if (now < it.Until)
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
      out.push_back({it.Parts, now + milliseconds(it.RemainingMs),
                     milliseconds(it.PeriodMs)});
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
  if (!hasHolder)
    decideAlone(now);
}

/// Decides by what this gateway alone has seen.
void CrashEvidence::decideAlone(TimePoint now) {
  for (const auto &[part, at] : AnsweredAt)
    Alone.addAnswer(part, at);
  if (!Alone.update(Utils::Milliseconds(0), now))
    return;
  Quarantine::merge(Entries, Alone.quarantines());
  EntriesSentSequence = 0;
}

void CrashEvidence::addAnswer(const Quarantine::Parts &parts,
                              TimePoint beganAt) {
  for (Quarantine::Part it : parts) {
    TimePoint &at = AnsweredAt[it];
    at = std::max(at, beganAt);
  }
  dropOldAnswers(beganAt);
}

void CrashEvidence::dropOldAnswers(TimePoint now) {
  if (now < AnswersDroppedAt + AnswerCheckInterval)
    return;
  AnswersDroppedAt = now;
  std::erase_if(AnsweredAt, [&](const auto &it) {
    return it.second + EvidenceLifetime < now;
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
    if (auto it = AnsweredAt.find(part); it != AnsweredAt.end())
      report.AnsweredParts.push_back({part, ageMs(it->second, now)});
}

bool CrashEvidence::apply(const FleetLink::Heartbeat &heartbeat,
                          TimePoint now) {
  size_t before = Entries.size();
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
  return Entries.size() != before;
}

} // namespace Gateway
