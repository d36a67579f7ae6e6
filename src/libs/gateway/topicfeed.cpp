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

TopicFeed::TopicFeed(asio::io_context &loop, const Store &store, Plan plan,
                     Take take)
    : Source(store), Steps(std::move(plan)), OnRecords(std::move(take)),
      Pause(loop), Random(std::random_device{}()) {}

void TopicFeed::start(Utils::TimePoint at) { readAt(at); }

void TopicFeed::read() {
  if (Reading)
    return;
  Reading = true;
  Utils::TimePoint now = Utils::BootClock::now();
  if (!Complete)
    return readPage(now);
  auto done = [this, now](const Utils::Outcome<TopicRead> &result) {
    Reading = false;
    if (!result)
      return onFailure(result.error());
    onRead(*result, now, false);
  };
  Utils::Milliseconds patience = Steps.Patience();
  Source.ReadFrom(Steps.Source, Next, patience, now + patience + StoreTimeout,
                  done);
}

/// Reads the next page of all records. A page that fails is read again, not
/// those before it: many VMs that begin anew would never get to the end.
void TopicFeed::readPage(Utils::TimePoint now) {
  auto done = [this, round = Round](Utils::Outcome<TopicPage> page) {
    Reading = false;
    if (round != Round)
      return readAfter(Utils::Milliseconds(0));
    if (!page)
      return onFailure(page.error());
    onPage(std::move(page.value()));
  };
  if (PageAfter.empty())
    PagesFrom = now;
  Source.ReadPage(Steps.Source, PageAfter, now + StoreTimeout, done);
}

void TopicFeed::onPage(TopicPage page) {
  // Whatever came after the end of the first page is read again from there.
  if (PageAfter.empty())
    Pages.Next = page.End;
  std::move(page.Records.begin(), page.Records.end(),
            std::back_inserter(Pages.Records));
  PageAfter = std::move(page.NextAfter);
  if (!PageAfter.empty()) {
    noteAnswer();
    return read();
  }
  onRead(std::exchange(Pages, {}), PagesFrom, true);
}

void TopicFeed::noteAnswer() {
  OnStoreCall(true);
  if (Failures > 0)
    Utils::Event("dependency_regained")
        .with("dependency", topicLabel(Steps.Source))
        .with("failures", Failures)
        .info();
  Failures = 0;
}

void TopicFeed::onRead(const TopicRead &result, Utils::TimePoint sentAt,
                       bool whole) {
  noteAnswer();
  Complete = true;
  CompleteUntil = std::max(CompleteUntil, sentAt);
  Next = result.Next;
  if (whole || !result.Records.empty())
    OnRecords(result.Records, whole);
  readAfter(Steps.Pause);
}

void TopicFeed::restart() {
  Complete = false;
  ++Round;
  PageAfter.clear();
  Pages = {};
}

void TopicFeed::onFailure(const Utils::Failure &failure) {
  bool deleted = failure.Code == Utils::Errc::OutOfRange;
  OnStoreCall(deleted);
  if (deleted)
    restart(); // Records were deleted before they were read.
  if (Failures++ == 0)
    Utils::Event("dependency_lost")
        .with("dependency", topicLabel(Steps.Source))
        .with("error", failure.What)
        .warning();
  auto pause = std::min(MinStoreBackoff * (1 << std::min(Failures - 1, 6U)),
                        MaxStoreBackoff);
  std::uniform_int_distribution<int64_t> spread(pause.count() / 2,
                                                pause.count());
  readAfter(Utils::Milliseconds(spread(Random)));
}

void TopicFeed::readAfter(Utils::Milliseconds pause) {
  readAt(std::max(Utils::BootClock::now() + pause, NotBefore));
}

void TopicFeed::readAt(Utils::TimePoint at) {
  Pause.expires_at(at);
  Pause.async_wait([this](const std::error_code &ec) {
    if (!ec)
      read();
  });
}

void TopicFeed::postpone(Utils::TimePoint asOf, Utils::TimePoint askedAt) {
  CompleteUntil = std::max(CompleteUntil, asOf);
  NotBefore = std::max(NotBefore, askedAt + RelayTimeout);
  if (!Reading)
    readAt(NotBefore);
}

void TopicFeed::hear(uint64_t next, Utils::TimePoint asOf,
                     Utils::TimePoint askedAt) {
  if (!Complete || asOf + MaxRelayedAge < askedAt)
    return;
  if (Next >= next)
    return postpone(asOf, askedAt);
  // The next beat says whether there is more.
  NotBefore = askedAt + RelayTimeout;
  read();
}

void TopicFeed::resume() {
  NotBefore = {};
  if (!Reading)
    readAt(Utils::BootClock::now());
}

void TopicFeed::awaitRest(Utils::TimePoint asOf, Utils::TimePoint askedAt) {
  if (asOf + MaxRelayedAge >= askedAt)
    postpone({}, askedAt);
}

void TopicFeed::hearAll(Utils::TimePoint asOf, Utils::TimePoint askedAt) {
  if (asOf + MaxRelayedAge < askedAt)
    return;
  restart();
  Heard = true;
  postpone(asOf, askedAt);
}

} // namespace Gateway
