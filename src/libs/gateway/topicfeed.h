#ifndef GATEWAY_TOPICFEED_H
#define GATEWAY_TOPICFEED_H

#include "gateway/store.h"
#include "httpio/httpio.h"

#include <functional>
#include <random>

namespace Gateway {

/// Follows one topic of the store: reads a snapshot first and after a gap, then
/// the records that are appended.
class TopicFeed {
public:
  struct Options {
    Topic Source = Topic::Operators;
    /// How long a read waits for a new record (long poll); 0 for reads that do
    /// not wait. Evaluated at each read.
    std::function<Utils::Milliseconds()> MaxWait = [] {
      return Utils::Milliseconds(0);
    };
    /// Pause between the end of a read and the next one.
    Utils::Milliseconds Pause{0};
    /// Age of the data from which the holder's answers do not postpone a read.
    std::optional<Utils::Milliseconds> MaxAge = std::nullopt;
  };
  /// `isSnapshot`: the records are the whole topic, not an addition.
  using RecordsCallback =
      std::function<void(const std::vector<TopicRecord> &, bool isSnapshot)>;

  TopicFeed(asio::io_context &loop, const Store &store, Options options,
            RecordsCallback onRecords);

  /// Starts to read at that time, unless the holder's answers postpone it or
  /// resume() comes first.
  void start(Utils::TimePoint at);
  /// The store has named this era, higher than the one before. Drops the
  /// positions of the era before and the read in flight, and reads a snapshot,
  /// now or when the holder's answers no longer postpone it. Until
  /// `retainUntil` a snapshot counts as an addition, since the store may lack
  /// records that their writers write again; then another one is read. The
  /// first known era only names that of the positions.
  void startEra(const StoreEra::Era &era, Utils::TimePoint retainUntil,
                bool readNow);
  /// The holder answered a report sent at `reportedAt`: it had read the topic
  /// up to `next`, which was its end at `asOf`. Reads new records at once, and
  /// otherwise postpones the next read; an offset of an earlier era does
  /// neither.
  void noteHolderOffset(const StoreEra::Position &next, Utils::TimePoint asOf,
                        Utils::TimePoint reportedAt);
  /// Whether this gateway lacks records that the holder has read, and its own
  /// read has failed or is overdue.
  bool lacksHolderRecords(Utils::TimePoint now) const;
  /// The holder has relayed the whole topic up to offset `next`, which was its
  /// end at `asOf`. Returns false, and changes nothing, if this gateway has
  /// read as much itself, or if `next` is of another era.
  bool noteRelayed(const StoreEra::Position &next, Utils::TimePoint asOf);
  /// The holder has sent all that the topic held at `asOf`: postpones the next
  /// read, which reads a snapshot.
  void noteHolderSnapshot(Utils::TimePoint asOf, Utils::TimePoint reportedAt);
  /// The holder has sent a part of what the topic held at `asOf`, and the rest
  /// follows: postpones the next read.
  void awaitHolderSnapshot(Utils::TimePoint asOf, Utils::TimePoint reportedAt);
  /// Whether the topic may still lack records that its writers write again, so
  /// that what is missing in it was not withdrawn; see startEra().
  bool isRetaining(Utils::TimePoint now) const { return now < RetainUntil; }
  /// Reads from the store again, starting now.
  void resume();
  uint64_t next() const { return Next; }
  StoreEra::Position position() const { return {InEra, Next}; }
  /// End of the topic when the newest answer was made; next() for a log read,
  /// and behind next() after a snapshot of several pages.
  StoreEra::Position readEnd() const { return {InEra, ReadEnd}; }
  /// Time up to which the data is complete; the epoch before the first read.
  Utils::TimePoint completeUntil() const { return CompleteUntil; }
  /// Value of completeUntil() before the latest answered read: the records of
  /// that read were not there at that time.
  Utils::TimePoint completeBefore() const { return CompleteBefore; }
  /// A snapshot was read, and later records are read from next() on.
  bool isComplete() const { return Complete; }
  /// Whether a snapshot was read or received from the holder, also in an
  /// earlier era.
  bool hasSnapshot() const { return Complete || HasOtherSnapshot; }

  /// Called when a read was answered or has failed.
  std::function<void(bool answered)> OnStoreCall = [](bool) {};

private:
  void read();
  void readPage(Utils::TimePoint now);
  void onPage(TopicPage page);
  void onRead(const TopicRead &result, Utils::TimePoint sentAt,
              bool isSnapshot);
  void noteSuccess();
  void restartSnapshot();
  void rereadSnapshot(Utils::TimePoint at);
  void onFailure(const Utils::Failure &failure);
  void readAfter(Utils::Milliseconds delay);
  void readAt(Utils::TimePoint at);
  void postponeReads(Utils::TimePoint reportedAt);
  void postpone(Utils::TimePoint asOf, Utils::TimePoint reportedAt);

  const Store &Source;
  Options Config;
  RecordsCallback OnRecords;
  HttpIo::OneShotTimer ReadTimer;
  std::minstd_rand Random;
  /// Era of Next and of the pages.
  StoreEra::Era InEra;
  uint64_t Next = 0;
  uint64_t ReadEnd = 0;
  /// Number of the read in flight. The answer to an earlier read is dropped: it
  /// belongs to an earlier era.
  uint64_t ReadNumber = 0;
  /// Until then snapshots count as additions.
  Utils::TimePoint RetainUntil{};
  HttpIo::OneShotTimer RetentionTimer;
  /// Pages of the snapshot that were read since SnapshotStartedAt, and the key
  /// after which the next page starts.
  TopicRead SnapshotPages;
  std::string PageAfter;
  Utils::TimePoint SnapshotStartedAt{};
  /// Counts restarts of the snapshot; pages of an earlier one are dropped.
  uint64_t SnapshotAttempt = 0;
  bool Complete = false;
  bool HasOtherSnapshot = false;
  uint32_t Failures = 0;
  bool Reading = false;
  /// No read starts before this point, however the last one ended.
  Utils::TimePoint NotBefore{};
  Utils::TimePoint CompleteUntil{};
  Utils::TimePoint CompleteBefore{};
  /// Since when the holder is known to have read more than this gateway; none
  /// while it has not.
  std::optional<Utils::TimePoint> BehindSince;
};

} // namespace Gateway

#endif // GATEWAY_TOPICFEED_H
