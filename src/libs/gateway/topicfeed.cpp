#include "gateway/topicfeed.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Gateway {

namespace {

std::string_view topicLabel(Topic topic) {
  return topic == Topic::Operators ? "configuration" : "endpoints";
}

} // namespace

TopicFeed::TopicFeed(asio::io_context &loop, const Store &store,
                     Options options, RecordsCallback onRecords)
    : Source(store), Config(std::move(options)),
      OnRecords(std::move(onRecords)), ReadTimer(loop),
      Random(std::random_device{}()), RetentionTimer(loop) {}

void TopicFeed::start(Utils::TimePoint at) { readAt(at); }

void TopicFeed::read() {
  if (Reading)
    return;
  Reading = true;
  ++ReadNumber;
  Utils::TimePoint now = Utils::BootClock::now();
  if (!Complete)
    return readPage(now);
  auto done = [this, now, from = Next,
               number = ReadNumber](const Utils::Outcome<TopicRead> &result) {
    if (number != ReadNumber)
      return;
    Reading = false;
    // The holder's records were applied meanwhile: this answer is older.
    bool isAnswer = result || result.error().Code == Utils::Errc::OutOfRange;
    if (isAnswer && from != Next)
      return readAfter(Utils::Milliseconds(0));
    if (!result)
      return onFailure(result.error());
    onRead(*result, now, false);
  };
  Utils::Milliseconds maxWait = Config.MaxWait();
  Source.ReadFrom(Config.Source, Next, maxWait, now + maxWait + StoreTimeout,
                  done);
}

/// Reads the next page of the snapshot. After a failure only the failed page is
/// read again: many VMs that restart from the first page at once would never
/// reach the last one.
void TopicFeed::readPage(Utils::TimePoint now) {
  auto done = [this, attempt = SnapshotAttempt,
               number = ReadNumber](Utils::Outcome<TopicPage> page) {
    if (number != ReadNumber)
      return;
    Reading = false;
    if (attempt != SnapshotAttempt)
      return readAfter(Utils::Milliseconds(0));
    if (!page)
      return onFailure(page.error());
    onPage(std::move(page.value()));
  };
  if (PageAfter.empty())
    SnapshotStartedAt = now;
  Source.ReadPage(Config.Source, PageAfter, now + StoreTimeout, done);
}

void TopicFeed::onPage(TopicPage page) {
  // Records appended while the pages are read are read again from the end that
  // the first page names.
  if (PageAfter.empty())
    SnapshotPages.Next = page.End;
  SnapshotPages.End = page.End;
  std::move(page.Records.begin(), page.Records.end(),
            std::back_inserter(SnapshotPages.Records));
  PageAfter = std::move(page.NextAfter);
  if (!PageAfter.empty()) {
    noteSuccess();
    return read();
  }
  onRead(std::exchange(SnapshotPages, {}), SnapshotStartedAt, true);
}

void TopicFeed::noteSuccess() {
  OnStoreCall(true);
  if (Failures > 0)
    Utils::Event("dependency_regained")
        .with("dependency", topicLabel(Config.Source))
        .with("failures", Failures)
        .info();
  Failures = 0;
}

void TopicFeed::onRead(const TopicRead &result, Utils::TimePoint sentAt,
                       bool isSnapshot) {
  noteSuccess();
  Complete = true;
  bool hasMore =
      !isSnapshot && !result.Records.empty() && result.Next < result.End;
  CompleteBefore = CompleteUntil;
  if (!hasMore)
    CompleteUntil = std::max(CompleteUntil, sentAt);
  Next = result.Next;
  ReadEnd = isSnapshot ? result.End : result.Next;
  bool isWhole = isSnapshot && sentAt >= RetainUntil;
  if (isSnapshot || !result.Records.empty())
    OnRecords(result.Records, isWhole);
  readAfter(hasMore ? Utils::Milliseconds(0) : Config.Pause);
}

void TopicFeed::restartSnapshot() {
  Complete = false;
  ++SnapshotAttempt;
  PageAfter.clear();
  SnapshotPages = {};
}

void TopicFeed::onFailure(const Utils::Failure &failure) {
  bool recordsDeleted = failure.Code == Utils::Errc::OutOfRange;
  OnStoreCall(recordsDeleted);
  // Records were deleted before they were read, or the answer that holds them
  // cannot be taken in and would be the same again.
  bool isUnusable = failure.Code == Utils::Errc::Corrupt ||
                    failure.Code == Utils::Errc::ResourceExhausted;
  if (recordsDeleted || (isUnusable && Complete))
    restartSnapshot();
  if (Failures++ == 0)
    Utils::Event("dependency_lost")
        .with("dependency", topicLabel(Config.Source))
        .with("error", failure.What)
        .warning();
  auto backoff = std::min(MinStoreBackoff * (1 << std::min(Failures - 1, 6U)),
                          MaxStoreBackoff);
  std::uniform_int_distribution<int64_t> jitter(backoff.count() / 2,
                                                backoff.count());
  readAfter(Utils::Milliseconds(jitter(Random)));
}

void TopicFeed::readAfter(Utils::Milliseconds delay) {
  readAt(std::max(Utils::BootClock::now() + delay, NotBefore));
}

void TopicFeed::readAt(Utils::TimePoint at) {
  ReadTimer.callAt(at, [this] { read(); });
}

/// The next report may be answered late or by older data: a read is postponed
/// by no more than keeps the data younger than MaxAge.
void TopicFeed::postponeReads(Utils::TimePoint reportedAt) {
  Utils::TimePoint until = reportedAt + RelayTimeout;
  bool hasData = CompleteUntil != Utils::TimePoint{};
  if (hasData && Config.MaxAge)
    until = std::min(until, CompleteUntil + *Config.MaxAge);
  NotBefore = std::max(NotBefore, until);
}

void TopicFeed::postpone(Utils::TimePoint asOf, Utils::TimePoint reportedAt) {
  CompleteUntil = std::max(CompleteUntil, asOf);
  postponeReads(reportedAt);
  if (!Reading)
    readAt(NotBefore);
}

void TopicFeed::startEra(const StoreEra::Era &era, Utils::TimePoint retainUntil,
                         bool readNow) {
  bool isFirst = !InEra.isKnown();
  InEra = era;
  if (isFirst)
    return;
  HasOtherSnapshot = hasSnapshot();
  Next = 0;
  BehindSince.reset();
  if (readNow)
    NotBefore = {};
  RetainUntil = retainUntil;
  rereadSnapshot(std::max(Utils::BootClock::now(), NotBefore));
  RetentionTimer.callAt(RetainUntil, [this] {
    rereadSnapshot(std::max(RetainUntil, NotBefore));
  });
}

/// Drops the read in flight, and reads a snapshot from its first page on.
void TopicFeed::rereadSnapshot(Utils::TimePoint at) {
  ++ReadNumber;
  Reading = false;
  restartSnapshot();
  readAt(at);
}

void TopicFeed::noteHolderOffset(const StoreEra::Position &holder,
                                 Utils::TimePoint asOf,
                                 Utils::TimePoint reportedAt) {
  using StoreEra::Comparison;
  Comparison comparison = compare(holder, position());
  if (comparison == Comparison::EarlierEra)
    return;
  bool isAhead = comparison != Comparison::NotAhead;
  if (Complete && !isAhead)
    BehindSince.reset();
  else if (!BehindSince)
    BehindSince = Utils::BootClock::now();
  if (!Complete || asOf + MaxRelayedAge < reportedAt)
    return;
  if (!isAhead)
    return postpone(asOf, reportedAt);
  // The next heartbeat shows whether there are more records.
  postponeReads(reportedAt);
  read();
}

bool TopicFeed::lacksHolderRecords(Utils::TimePoint now) const {
  return BehindSince &&
         (Failures > 0 || now >= *BehindSince + SlowStoreLatency);
}

bool TopicFeed::noteRelayed(const StoreEra::Position &next,
                            Utils::TimePoint asOf) {
  if (next.InEra != InEra || (Complete && Next >= next.Offset))
    return false;
  restartSnapshot();
  Complete = true;
  Next = next.Offset;
  CompleteBefore = CompleteUntil;
  CompleteUntil = std::max(CompleteUntil, asOf);
  BehindSince.reset();
  return true;
}

void TopicFeed::resume() {
  NotBefore = {};
  if (!Reading)
    readAt(Utils::BootClock::now());
}

void TopicFeed::awaitHolderSnapshot(Utils::TimePoint asOf,
                                    Utils::TimePoint reportedAt) {
  if (asOf + MaxRelayedAge >= reportedAt)
    postpone({}, reportedAt);
}

void TopicFeed::noteHolderSnapshot(Utils::TimePoint asOf,
                                   Utils::TimePoint reportedAt) {
  if (asOf + MaxRelayedAge < reportedAt)
    return;
  restartSnapshot();
  HasOtherSnapshot = true;
  postpone(asOf, reportedAt);
}

} // namespace Gateway
