#include "quarantine/crashledger.h"

#include <algorithm>

namespace Quarantine {

namespace {

/// Evidence older than this decides nothing.
constexpr std::chrono::seconds EvidenceLifetime{60};
/// Most crashes that are kept; the oldest are dropped first.
constexpr size_t MaxCrashes = 256;
/// Most suspects that are kept for one crash.
constexpr size_t MaxSuspects = 64;
/// Two crashes of an endpoint within this time are one: it takes seconds to
/// come back.
constexpr std::chrono::milliseconds SameCrash{1000};
/// Crashes in sequence from which a part is suspected, and from which it is
/// quarantined.
constexpr uint32_t CrashesToSuspect = 2;
constexpr uint32_t CrashesToQuarantine = 3;
/// Crashes in sequence from which a part is quarantined if the evidence is
/// unclear: other parts, in other calls, account for as many crashes, or most
/// of the recent crashes have another cause. Calls with a rare part may be at a
/// few of these by chance.
constexpr uint32_t CrashesToQuarantineUnclear = 5;
constexpr std::chrono::seconds RecentCrashes{20};
/// Most parts that are suspected at a time.
constexpr size_t MaxSuspected = 32;
constexpr std::chrono::minutes FirstPeriod{5};
constexpr std::chrono::minutes MaxPeriod{60};

bool contains(const Parts &parts, Part part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// When the newest call with the part was sent that was at the crash; nothing
/// if there was none.
std::optional<TimePoint> lastSent(const Crash &crash, Part part) {
  std::optional<TimePoint> out;
  for (const Suspect &it : crash.Suspects)
    if (contains(it.Shared, part))
      out = std::max(out.value_or(it.SentAt), it.SentAt);
  return out;
}

} // namespace

void CrashLedger::addCrash(const Crash &crash) {
  auto known =
      std::find_if(Crashes.begin(), Crashes.end(), [&](const Crash &it) {
        return it.Endpoint == crash.Endpoint && it.At < crash.At + SameCrash &&
               crash.At < it.At + SameCrash;
      });
  if (known == Crashes.end()) {
    auto later =
        std::find_if(Crashes.begin(), Crashes.end(),
                     [&](const Crash &it) { return it.At > crash.At; });
    known = Crashes.insert(later, {crash.Endpoint, crash.At, {}});
  }
  for (const Suspect &it : crash.Suspects)
    if (!it.Shared.empty() && known->Suspects.size() < MaxSuspects)
      known->Suspects.push_back(it);
  if (Crashes.size() > MaxCrashes)
    Crashes.pop_front();
}

void CrashLedger::addAnswer(Part part, TimePoint at) {
  TimePoint &answeredAt = AnsweredAt[part];
  answeredAt = std::max(answeredAt, at);
  for (Entry &it : Quarantines)
    if (at > it.Until - it.Period)
      std::erase(it.Matching, part);
  std::erase_if(Quarantines,
                [](const Entry &it) { return it.Matching.empty(); });
}

void CrashLedger::adopt(const std::vector<Entry> &entries) {
  merge(Quarantines, entries);
}

bool CrashLedger::update(Milliseconds answerDelay, TimePoint now) {
  Parts watchedBefore = partsToWatch();
  size_t quarantinesBefore = Quarantines.size();
  expire(now);
  bool renewed = renewLapsed(now);
  while (quarantineNext(answerDelay, now)) {
  }
  return renewed || Quarantines.size() != quarantinesBefore ||
         partsToWatch() != watchedBefore;
}

void CrashLedger::expire(TimePoint now) {
  while (!Crashes.empty() && Crashes.front().At + EvidenceLifetime < now)
    Crashes.pop_front();
  std::erase_if(AnsweredAt, [&](const auto &it) {
    return it.second + EvidenceLifetime < now;
  });
  // An entry is remembered for as long again as it was in force.
  std::erase_if(Quarantines,
                [&](const Entry &it) { return it.Until + it.Period < now; });
}

bool CrashLedger::isExplained(const Crash &crash) const {
  return std::any_of(
      Quarantines.begin(), Quarantines.end(), [&](const Entry &entry) {
        return std::any_of(
            crash.Suspects.begin(), crash.Suspects.end(),
            [&](const Suspect &it) { return matches(entry, it.Shared); });
      });
}

/// Number of recent crashes for which no quarantined part accounts.
size_t CrashLedger::unexplainedCrashes(TimePoint now) const {
  return size_t(
      std::count_if(Crashes.begin(), Crashes.end(), [&](const Crash &it) {
        return now < it.At + RecentCrashes && !isExplained(it);
      }));
}

std::map<Part, CrashLedger::Account> CrashLedger::accounts() const {
  std::map<Part, Account> out;
  std::map<Part, TimePoint> previous;
  for (size_t i = 0; i < Crashes.size(); ++i) {
    const Crash &crash = Crashes[i];
    if (isExplained(crash))
      continue;
    for (const Suspect &suspect : crash.Suspects)
      for (Part part : suspect.Shared) {
        auto answered = AnsweredAt.find(part);
        if (answered != AnsweredAt.end() && crash.At <= answered->second)
          continue;
        Account &account = out[part];
        if (!account.Crashes.empty() && account.Crashes.back() == i)
          continue;
        account.Crashes.push_back(i);
        auto counted = previous.find(part);
        if (counted != previous.end() &&
            *lastSent(crash, part) <= counted->second)
          continue;
        ++account.Sequence;
        previous[part] = crash.At;
      }
  }
  return out;
}

/// Puts lapsed quarantines back in force whose parts were at a crash since.
bool CrashLedger::renewLapsed(TimePoint now) {
  bool renewed = false;
  for (Entry &entry : Quarantines) {
    if (now < entry.Until)
      continue;
    bool crashedAgain =
        std::any_of(Crashes.begin(), Crashes.end(), [&](const Crash &crash) {
          return crash.At > entry.Until &&
                 std::any_of(crash.Suspects.begin(), crash.Suspects.end(),
                             [&](const Suspect &it) {
                               return matches(entry, it.Shared);
                             });
        });
    if (!crashedAgain)
      continue;
    entry.Period = std::min<Milliseconds>(2 * entry.Period, MaxPeriod);
    entry.Until = now + entry.Period;
    renewed = true;
  }
  return renewed;
}

/// Whether the parts are in the same calls at each crash of the account.
bool CrashLedger::comeTogether(Part left, Part right,
                               const Account &account) const {
  return std::all_of(
      account.Crashes.begin(), account.Crashes.end(), [&](size_t at) {
        const auto &suspects = Crashes[at].Suspects;
        return std::any_of(
            suspects.begin(), suspects.end(), [&](const Suspect &it) {
              return contains(it.Shared, left) && contains(it.Shared, right);
            });
      });
}

/// Suspects the parts that account for several crashes; if they are too many to
/// watch, those that account for most.
void CrashLedger::suspect(const std::map<Part, Account> &accounts,
                          TimePoint now) {
  std::vector<std::pair<uint32_t, Part>> ranked;
  for (const auto &[part, account] : accounts)
    if (account.Sequence >= CrashesToSuspect)
      ranked.emplace_back(account.Sequence, part);
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(ranked.size(), MaxSuspected));
  std::map<Part, TimePoint> suspected;
  for (const auto &[sequence, part] : ranked) {
    auto since = SuspectedSince.find(part);
    suspected[part] = since == SuspectedSince.end() ? now : since->second;
  }
  SuspectedSince = std::move(suspected);
}

/// Quarantines the parts that account for most crashes. Returns false if there
/// are none for which that is decided.
bool CrashLedger::quarantineNext(Milliseconds answerDelay, TimePoint now) {
  auto known = accounts();
  suspect(known, now);
  uint32_t most = 0;
  for (const auto &[part, since] : SuspectedSince)
    most = std::max(most, known[part].Sequence);
  if (most < CrashesToQuarantine || Quarantines.size() >= MaxEntries)
    return false;

  Parts candidates;
  for (const auto &[part, since] : SuspectedSince)
    if (known[part].Sequence == most)
      candidates.push_back(part);
  auto answeredAt = [&](Part part) {
    auto it = AnsweredAt.find(part);
    return it == AnsweredAt.end() ? TimePoint{} : it->second;
  };
  Part first = *std::min_element(candidates.begin(), candidates.end(),
                                 [&](Part left, Part right) {
                                   return answeredAt(left) < answeredAt(right);
                                 });
  Parts together;
  for (Part it : candidates)
    if (it == first || comeTogether(first, it, known[first]))
      together.push_back(it);
  bool isClear = together.size() == candidates.size() &&
                 2 * known[first].Crashes.size() >= unexplainedCrashes(now);
  if (!isClear && most < CrashesToQuarantineUnclear)
    return false;
  if (now < SuspectedSince[first] + answerDelay)
    return false;
  quarantine(std::move(together), now);
  return true;
}

void CrashLedger::quarantine(Parts parts, TimePoint now) {
  std::sort(parts.begin(), parts.end());
  Quarantines.push_back({std::move(parts), now + FirstPeriod, FirstPeriod});
}

Parts CrashLedger::partsToWatch() const {
  Parts out;
  for (const Entry &entry : Quarantines)
    out.insert(out.end(), entry.Matching.begin(), entry.Matching.end());
  for (const auto &[part, since] : SuspectedSince)
    if (!contains(out, part))
      out.push_back(part);
  return out;
}

} // namespace Quarantine
