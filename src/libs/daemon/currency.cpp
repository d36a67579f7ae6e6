#include "daemon/currency.h"

#include <algorithm>
#include <array>

namespace Daemon::Internal {

namespace {

/// Longer than a read that waits for records, so that a silent log shows.
constexpr Utils::Milliseconds SilentAfter(2000);

/// Four rounds of the duty that says that the process runs; shorter than
/// SilentAfter, so that a pause never passes for a silence of the log.
constexpr Utils::Milliseconds PausedAfter(1000);

constexpr std::array<std::string_view, 4> CurrencyNames = {
    "not_current", "own_reading", "told_reading", "log_outage"};

bool isFresh(const std::optional<Utils::TimePoint> &at,
             const CurrencyInput &input) {
  return at && input.Now - *at <= input.Window;
}

bool covers(const std::optional<Peers::LogReading> &reading,
            const CurrencyInput &input) {
  return reading && input.Held >= reading->End &&
         input.Now - reading->At <= input.Window;
}

bool holdsAllSeen(const CurrencyInput &input) {
  return (input.Own || input.Told) && input.Held >= input.SeenEnd &&
         (!input.Own || input.Held >= input.Own->End) &&
         (!input.Told || input.Held >= input.Told->End);
}

} // namespace

std::string_view currencyName(Currency currency) {
  return CurrencyNames[static_cast<size_t>(currency)];
}

bool isLogOutage(const CurrencyInput &input) {
  bool allReport =
      std::all_of(input.OutageReports.begin(), input.OutageReports.end(),
                  [&](const auto &report) { return isFresh(report, input); });
  return input.LogLost && allReport && holdsAllSeen(input);
}

Currency decideCurrency(const CurrencyInput &input) {
  if (covers(input.Own, input))
    return Currency::OwnReading;
  if (covers(input.Told, input))
    return Currency::ToldReading;
  return isLogOutage(input) ? Currency::LogOutage : Currency::NotCurrent;
}

void Readings::note(const Peers::LogReading &reading) {
  Peers::LogReading merged = Peers::mergeReadings(newest(), reading);
  if (!Recent.empty() && Recent.back().End == merged.End)
    Recent.back().At = merged.At;
  else
    Recent.push_back(merged);
  if (Recent.size() > MaxReadings)
    Recent.pop_front();
}

std::optional<Peers::LogReading> Readings::newest() const {
  if (Recent.empty())
    return std::nullopt;
  return Recent.back();
}

std::optional<Peers::LogReading> Readings::heldBy(uint64_t held) const {
  auto it = std::find_if(Recent.rbegin(), Recent.rend(),
                         [&](const auto &r) { return r.End <= held; });
  return it == Recent.rend() ? newest() : std::optional(*it);
}

LogContact::LogContact(Utils::Clock clock)
    : Clock(std::move(clock)), AnsweredAt(Clock.Now()) {}

void LogContact::noteOwn(const Peers::LogReading &reading) {
  std::lock_guard lock(Mutex);
  if (!RestoredAt || lostSinceLocked())
    RestoredAt = Clock.Now();
  AnsweredAt = Clock.Now();
  Own.note(reading);
  FailedSince.reset();
  Log.recordSuccess();
}

void LogContact::noteTold(const Peers::LogReading &reading) {
  std::lock_guard lock(Mutex);
  Told.note(reading);
}

void LogContact::noteFailure(std::string_view why, Utils::TimePoint asked) {
  std::lock_guard lock(Mutex);
  Log.recordFailure(why);
  FailureAsked = std::max(FailureAsked, asked);
  if (!FailedSince)
    FailedSince = Clock.Now();
}

void LogContact::noteAwake() {
  std::lock_guard lock(Mutex);
  Utils::TimePoint now = Clock.Now();
  if (!AwakeAt || now - *AwakeAt > PausedAfter)
    AwakeSince = now;
  AwakeAt = now;
}

std::optional<Peers::LogReading> LogContact::own(uint64_t held) const {
  std::lock_guard lock(Mutex);
  return Own.heldBy(held);
}

std::optional<Peers::LogReading> LogContact::told(uint64_t held) const {
  std::lock_guard lock(Mutex);
  return Told.heldBy(held);
}

uint64_t LogContact::seenEnd() const {
  std::lock_guard lock(Mutex);
  auto own = Own.newest();
  auto told = Told.newest();
  return std::max(own ? own->End : 0, told ? told->End : 0);
}

std::optional<Utils::TimePoint> LogContact::lostSinceLocked() const {
  if (FailedSince)
    return FailedSince;
  // Not from when the read was asked for: the next one may wait as long again.
  if (Clock.Now() - AnsweredAt > SilentAfter)
    return AnsweredAt;
  return std::nullopt;
}

std::optional<Utils::TimePoint> LogContact::lostSince() const {
  std::lock_guard lock(Mutex);
  return lostSinceLocked();
}

std::optional<Utils::TimePoint> LogContact::witnessedLossLocked() const {
  if (!AwakeAt)
    return lostSinceLocked();
  Utils::TimePoint now = Clock.Now();
  if (now - *AwakeAt > PausedAfter)
    return std::nullopt;
  if (FailedSince && FailureAsked >= AwakeSince)
    return std::max(*FailedSince, AwakeSince);
  Utils::TimePoint silentSince = std::max(AnsweredAt, AwakeSince);
  if (now - silentSince > SilentAfter)
    return silentSince;
  return std::nullopt;
}

std::optional<Utils::TimePoint> LogContact::witnessedLossSince() const {
  std::lock_guard lock(Mutex);
  return witnessedLossLocked();
}

std::optional<Utils::TimePoint> LogContact::contactSince() const {
  std::lock_guard lock(Mutex);
  return lostSinceLocked() ? std::nullopt : RestoredAt;
}

Peers::LogReport LogContact::report(uint64_t held) const {
  std::lock_guard lock(Mutex);
  Peers::LogReport report;
  report.Applied = held;
  report.LostSince = witnessedLossLocked();
  auto told = Told.newest();
  report.Newest = Own.newest();
  if (told)
    report.Newest = Peers::mergeReadings(report.Newest, *told);
  if (report.Newest)
    report.Newest->End = std::max(report.Newest->End, held);
  return report;
}

} // namespace Daemon::Internal
