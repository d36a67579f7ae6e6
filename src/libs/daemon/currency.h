#ifndef DAEMON_CURRENCY_H
#define DAEMON_CURRENCY_H

#include "peers/gossip.h"
#include "utils/clock.h"
#include "utils/dependencymonitor.h"

#include <deque>
#include <mutex>
#include <optional>
#include <vector>

namespace Daemon::Internal {

/// Why a daemon may go on admitting by its state.
enum class Currency : uint8_t {
  NotCurrent,
  OwnReading,  ///< It read the log itself, lately.
  ToldReading, ///< Another daemon read it lately; this one holds as much.
  LogOutage,   ///< Every daemon says that the log is unavailable.
};

std::string_view currencyName(Currency currency);

/// What the decision depends on.
struct CurrencyInput {
  Utils::TimePoint Now;
  Utils::Milliseconds Window{4000};
  /// Offset of the next append that is not applied.
  uint64_t Held = 0;
  /// End of the log by the newest reading of all.
  uint64_t SeenEnd = 0;
  /// Newest readings whose records are all held, or the newest of all.
  std::optional<Peers::LogReading> Own;
  std::optional<Peers::LogReading> Told;
  bool LogLost = false;
  /// For every other daemon expected or alive: when it said, at the latest,
  /// that the log is unavailable.
  std::vector<std::optional<Utils::TimePoint>> OutageReports;
};

/// Whether the log is unavailable to this daemon and every other one, and no
/// record can have been accepted that it does not hold.
bool isLogOutage(const CurrencyInput &input);

/// Decides by monotonic points in time only.
Currency decideCurrency(const CurrencyInput &input);

/// Readings of one source. Keeps recent ones beside the newest, since the
/// records of the newest are applied a moment after it is noted.
class Readings {
public:
  void note(const Peers::LogReading &reading);
  std::optional<Peers::LogReading> newest() const;
  /// Newest reading that ends at or before `held`, or else the newest of all.
  std::optional<Peers::LogReading> heldBy(uint64_t held) const;

private:
  static constexpr size_t MaxReadings = 64;

  /// Both members grow from front to back.
  std::deque<Peers::LogReading> Recent;
};

/// What this daemon knows of the log's reach. Thread-safe.
class LogContact {
public:
  explicit LogContact(Utils::Clock clock);

  /// The log answered a read asked for at `reading.At`.
  void noteOwn(const Peers::LogReading &reading);
  void noteTold(const Peers::LogReading &reading);
  /// A read asked for at `asked` failed or took too long.
  void noteFailure(std::string_view why, Utils::TimePoint asked);
  /// The process runs. After a pause between two of these, what was known of
  /// the log before it is no longer a statement about now.
  void noteAwake();

  /// Readings for the decision of a daemon that holds so much.
  std::optional<Peers::LogReading> own(uint64_t held) const;
  std::optional<Peers::LogReading> told(uint64_t held) const;
  /// End of the log by the newest reading of all.
  uint64_t seenEnd() const;
  /// Since when the log does not answer; nothing while it does.
  std::optional<Utils::TimePoint> lostSince() const;
  /// The same, by what was seen since this process last was suspended: what may
  /// be said of the log as a witness.
  std::optional<Utils::TimePoint> witnessedLossSince() const;
  /// Since when the log has always answered; nothing while it does not.
  std::optional<Utils::TimePoint> contactSince() const;
  /// Report for gossip. Loss and newest reading belong together: who says that
  /// the log is unavailable says at once up to where it was read, by anyone.
  Peers::LogReport report(uint64_t held) const;

private:
  std::optional<Utils::TimePoint> lostSinceLocked() const;
  std::optional<Utils::TimePoint> witnessedLossLocked() const;

  Utils::Clock Clock;
  mutable std::mutex Mutex;
  Utils::DependencyMonitor Log{"log", Clock};
  /// When the log last answered; at first when this daemon started.
  Utils::TimePoint AnsweredAt;
  Readings Own;
  Readings Told;
  std::optional<Utils::TimePoint> FailedSince;
  /// When the newest read that failed was asked for.
  Utils::TimePoint FailureAsked;
  std::optional<Utils::TimePoint> RestoredAt;
  /// When the process last said that it runs, and since when without a pause.
  std::optional<Utils::TimePoint> AwakeAt;
  Utils::TimePoint AwakeSince;
};

} // namespace Daemon::Internal

#endif // DAEMON_CURRENCY_H
