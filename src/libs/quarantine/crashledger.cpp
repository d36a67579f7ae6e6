#include "quarantine/crashledger.h"

#include <algorithm>
#include <tuple>

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
/// First period of a request. It is short, as a sound request that was beside
/// the crashes may be taken for the cause; after it, one send decides.
constexpr std::chrono::seconds FirstRequestPeriod{10};
/// Requests that were at the same crashes are let through one after the other,
/// in at most so many steps of the first period.
constexpr int64_t MaxRequestSteps = 4;
/// A request that is sent again right after a crash may seem to have been sent
/// this much before it: reports state times in milliseconds, and the time that
/// they take differs.
constexpr std::chrono::milliseconds MaxReportJitter{5};

bool contains(const Parts &parts, Part part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool hasRequest(const Parts &parts) {
  return std::any_of(parts.begin(), parts.end(), isRequest);
}

bool hasPromptPart(const Parts &parts) {
  return !std::all_of(parts.begin(), parts.end(), isRequest);
}

TimePoint startOf(const Entry &entry) { return entry.Until - entry.Period; }

/// A part of a call that was at a crash.
struct Presence {
  Part Of = 0;
  /// Index into the crashes.
  size_t Crash = 0;
  TimePoint SentAt{};
  bool Explained = false;
};

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
  KnownAccounts.reset();
  for (const Suspect &it : crash.Suspects)
    if (!it.Shared.empty() && known->Suspects.size() < MaxSuspects)
      known->Suspects.push_back(it);
  if (Crashes.size() > MaxCrashes)
    Crashes.pop_front();
}

void CrashLedger::addAnswer(Part part, TimePoint at) {
  TimePoint &answeredAt = AnsweredAt[part];
  if (at > answeredAt) {
    answeredAt = at;
    KnownAccounts.reset();
  }
  for (Entry &it : Quarantines) {
    TimePoint start = startOf(it);
    if (at <= start || std::erase(it.Matching, part) == 0)
      continue;
    // What is left of the entry is not in doubt as a request is.
    if (!hasRequest(it.Matching) && it.Period < FirstPeriod) {
      it.Period = FirstPeriod;
      it.Until = start + FirstPeriod;
    }
    KnownAccounts.reset();
  }
  std::erase_if(Quarantines,
                [](const Entry &it) { return it.Matching.empty(); });
}

void CrashLedger::adopt(const std::vector<Entry> &entries) {
  size_t before = Quarantines.size();
  merge(Quarantines, entries);
  if (Quarantines.size() != before)
    KnownAccounts.reset();
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
  size_t before = Crashes.size() + AnsweredAt.size() + Quarantines.size();
  while (!Crashes.empty() && Crashes.front().At + EvidenceLifetime < now)
    Crashes.pop_front();
  std::erase_if(AnsweredAt, [&](const auto &it) {
    return it.second + EvidenceLifetime < now;
  });
  // An entry is remembered for as long again as it was in force, or longer.
  std::erase_if(Quarantines, [&](const Entry &it) {
    return it.Until + std::max<Milliseconds>(it.Period, FirstPeriod) < now;
  });
  if (Crashes.size() + AnsweredAt.size() + Quarantines.size() != before)
    KnownAccounts.reset();
}

bool CrashLedger::isExplained(const Crash &crash) const {
  return std::any_of(Quarantines.begin(), Quarantines.end(),
                     [&](const Entry &it) { return matches(it, crash); });
}

/// Whether an entry for requests with the prompt part accounts for the crash.
bool CrashLedger::isExplainedWith(const Crash &crash, Part part) const {
  return !isRequest(part) && std::any_of(Quarantines.begin(), Quarantines.end(),
                                         [&](const Entry &it) {
                                           return hasRequest(it.Matching) &&
                                                  contains(it.Matching, part) &&
                                                  matches(it, crash);
                                         });
}

/// Number of recent crashes for which no quarantined part accounts.
/// `ofPromptParts`: only those with calls that have prompt parts.
size_t CrashLedger::unexplainedCrashes(bool ofPromptParts,
                                       TimePoint now) const {
  return size_t(
      std::count_if(Crashes.begin(), Crashes.end(), [&](const Crash &crash) {
        bool counts = !ofPromptParts ||
                      std::any_of(crash.Suspects.begin(), crash.Suspects.end(),
                                  [](const Suspect &it) {
                                    return hasPromptPart(it.Shared);
                                  });
        return counts && now < crash.At + RecentCrashes && !isExplained(crash);
      }));
}

const CrashLedger::Accounts &CrashLedger::accounts() {
  if (!KnownAccounts)
    KnownAccounts = makeAccounts();
  return *KnownAccounts;
}

/// Accounts of the parts that were at more than one crash. A crash that the
/// quarantine of a request explains counts for the prompt parts in the entry
/// too as soon as they are at a crash that it does not explain.
CrashLedger::Accounts CrashLedger::makeAccounts() const {
  std::vector<Presence> all;
  for (size_t i = 0; i < Crashes.size(); ++i) {
    const Crash &crash = Crashes[i];
    bool explained = isExplained(crash);
    for (const Suspect &suspect : crash.Suspects)
      for (Part part : suspect.Shared)
        if (!explained || isExplainedWith(crash, part))
          all.push_back({part, i, suspect.SentAt, explained});
  }
  std::sort(all.begin(), all.end(), [](const Presence &l, const Presence &r) {
    return std::tie(l.Of, l.Crash, r.SentAt) <
           std::tie(r.Of, r.Crash, l.SentAt);
  });
  Accounts out;
  for (size_t at = 0; at < all.size();) {
    const Part part = all[at].Of;
    auto answered = AnsweredAt.find(part);
    Account account;
    TimePoint previous{};
    bool isOpen = false;
    for (; at < all.size() && all[at].Of == part; ++at) {
      const Presence &it = all[at];
      TimePoint crashedAt = Crashes[it.Crash].At;
      if (answered != AnsweredAt.end() && crashedAt <= answered->second)
        continue;
      // The newest send is the first of the crash.
      if (!account.Crashes.empty() && account.Crashes.back() == it.Crash)
        continue;
      account.Crashes.push_back(it.Crash);
      isOpen |= !it.Explained;
      Milliseconds jitter = isRequest(part) ? MaxReportJitter : Milliseconds(0);
      if (account.Sequence > 0 && it.SentAt + jitter <= previous)
        continue;
      ++account.Sequence;
      previous = crashedAt;
    }
    if (isOpen && account.Crashes.size() > 1)
      out.emplace_hint(out.end(), part, std::move(account));
  }
  return out;
}

bool CrashLedger::renewLapsed(TimePoint now) {
  bool renewed = false;
  for (const Crash &it : Crashes)
    renewed |= Quarantine::renewLapsed(Quarantines, it, now);
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

/// Since when answers of the part are reported: for `answerDelay` or longer
/// before it was quarantined.
TimePoint CrashLedger::watchedSince(Part part, Milliseconds answerDelay,
                                    TimePoint now) const {
  auto since = SuspectedSince.find(part);
  TimePoint out = since == SuspectedSince.end() ? now : since->second;
  for (const Entry &it : Quarantines)
    if (contains(it.Matching, part))
      out = std::min(out, startOf(it) - answerDelay);
  return out;
}

/// Suspects the parts that account for several crashes; if they are too many to
/// watch, those that account for most, and prompt parts before requests.
void CrashLedger::suspect(const Accounts &accounts, Milliseconds answerDelay,
                          TimePoint now) {
  std::vector<std::tuple<uint32_t, bool, Part>> ranked;
  for (const auto &[part, account] : accounts)
    if (account.Sequence >= CrashesToSuspect)
      ranked.emplace_back(account.Sequence, !isRequest(part), part);
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(ranked.size(), MaxSuspected));
  std::map<Part, TimePoint> suspected;
  for (const auto &[sequence, isPromptPart, part] : ranked)
    suspected[part] = watchedSince(part, answerDelay, now);
  SuspectedSince = std::move(suspected);
}

Part CrashLedger::leastAnswered(const Parts &parts) const {
  auto answeredAt = [&](Part part) {
    auto it = AnsweredAt.find(part);
    return it == AnsweredAt.end() ? TimePoint{} : it->second;
  };
  return *std::min_element(parts.begin(), parts.end(),
                           [&](Part left, Part right) {
                             return answeredAt(left) < answeredAt(right);
                           });
}

/// The part, and those that no call at its crashes separates from it.
Parts CrashLedger::partsTogether(Part first, const Parts &candidates,
                                 const Accounts &accounts) const {
  const Account &account = accounts.at(first);
  Parts out;
  for (Part it : candidates)
    if (it == first || comeTogether(first, it, account))
      out.push_back(it);
  // A request hides none of its prompt parts, even if it seems to account for
  // one crash more.
  if (isRequest(first))
    for (const auto &[part, other] : accounts)
      if (!isRequest(part) && !contains(out, part) &&
          comeTogether(first, part, account))
        out.push_back(part);
  return out;
}

/// Quarantines the parts that account for most crashes. Returns false if there
/// are none for which that is decided.
bool CrashLedger::quarantineNext(Milliseconds answerDelay, TimePoint now) {
  const Accounts &known = accounts();
  suspect(known, answerDelay, now);
  uint32_t most = 0;
  for (const auto &[part, since] : SuspectedSince)
    most = std::max(most, known.at(part).Sequence);
  if (most < CrashesToQuarantine || !makeRoom(now))
    return false;

  Parts candidates;
  for (const auto &[part, since] : SuspectedSince)
    if (known.at(part).Sequence == most)
      candidates.push_back(part);
  // Prompt parts go before requests: sound requests beside the crashes put no
  // part in doubt.
  Parts rivals = candidates;
  if (hasPromptPart(candidates))
    std::erase_if(rivals, isRequest);
  Part first = leastAnswered(rivals);
  Parts together = partsTogether(first, candidates, known);
  const Account &account = known.at(first);
  std::erase_if(rivals, [&](Part it) { return contains(together, it); });
  bool isClear =
      rivals.empty() && 2 * account.Crashes.size() >=
                            unexplainedCrashes(hasPromptPart(together), now);
  if (!isClear && most < CrashesToQuarantineUnclear)
    return false;
  if (now < SuspectedSince[first] + answerDelay)
    return false;
  Parts alike;
  if (isRequest(first))
    for (Part it : rivals)
      if (known.at(it).Crashes == account.Crashes)
        alike.push_back(it);
  Milliseconds period = hasRequest(together) ? Milliseconds(FirstRequestPeriod)
                                             : Milliseconds(FirstPeriod);
  quarantine(std::move(together), period, now);
  int64_t step = 1;
  for (Part it : alike)
    if (makeRoom(now))
      quarantine({it}, std::min(++step, MaxRequestSteps) * FirstRequestPeriod,
                 now);
  return true;
}

/// Forgets the quarantine that lapsed first if there is no room for another.
/// Returns false if all are in force.
bool CrashLedger::makeRoom(TimePoint now) {
  if (Quarantines.size() < MaxEntries)
    return true;
  auto oldest = std::min_element(
      Quarantines.begin(), Quarantines.end(),
      [](const Entry &l, const Entry &r) { return l.Until < r.Until; });
  if (now < oldest->Until)
    return false;
  Quarantines.erase(oldest);
  return true;
}

void CrashLedger::quarantine(Parts parts, Milliseconds period, TimePoint now) {
  std::sort(parts.begin(), parts.end());
  Quarantines.push_back({std::move(parts), now + period, period});
  KnownAccounts.reset();
}

Parts CrashLedger::partsAtCrashes() const {
  Parts out;
  for (const Crash &crash : Crashes)
    for (const Suspect &it : crash.Suspects)
      out.insert(out.end(), it.Shared.begin(), it.Shared.end());
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
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
