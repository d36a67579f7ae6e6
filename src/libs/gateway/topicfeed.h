#ifndef GATEWAY_TOPICFEED_H
#define GATEWAY_TOPICFEED_H

#include "gateway/store.h"
#include "httpio/httpio.h"

#include <functional>
#include <random>

namespace Gateway {

/// Follows one topic of the store: all of it at first and after a gap, then
/// what is added.
class TopicFeed {
public:
  struct Plan {
    Topic Source = Topic::Operators;
    /// How long a read waits for a record; 0 for reads that do not wait. Asked
    /// for at each read.
    std::function<Utils::Milliseconds()> Patience = [] {
      return Utils::Milliseconds(0);
    };
    /// Pause after a read.
    Utils::Milliseconds Pause{0};
  };
  /// `whole`: the records are all there are, not an addition.
  using Take =
      std::function<void(const std::vector<TopicRecord> &, bool whole)>;

  TopicFeed(asio::io_context &loop, const Store &store, Plan plan, Take take);

  /// Begins to read then, unless it hears or is to resume before.
  void start(Utils::TimePoint at);
  /// The holder of the fleet's duty, asked at `askedAt`, had read the topic up
  /// to `next`, which was all at `asOf`: reads at once what is new, and nothing
  /// else for a while.
  void hear(uint64_t next, Utils::TimePoint asOf, Utils::TimePoint askedAt);
  /// The holder has told all that the topic held at `asOf`: reads nothing for a
  /// while, and all of it afterwards.
  void hearAll(Utils::TimePoint asOf, Utils::TimePoint askedAt);
  /// The holder tells all that the topic held at `asOf` in parts: reads nothing
  /// for a while.
  void awaitRest(Utils::TimePoint asOf, Utils::TimePoint askedAt);
  /// Reads by itself from now on.
  void resume();
  uint64_t next() const { return Next; }
  /// What was taken is complete up to this point; the epoch before the first
  /// read.
  Utils::TimePoint completeUntil() const { return CompleteUntil; }
  /// All was read, and what was added since is read from next() on.
  bool isComplete() const { return Complete; }
  bool hasRead() const { return Complete || Heard; }

  /// Called when a read was answered or has failed.
  std::function<void(bool answered)> OnStoreCall = [](bool) {};

private:
  void read();
  void readPage(Utils::TimePoint now);
  void onPage(TopicPage page);
  void onRead(const TopicRead &result, Utils::TimePoint sentAt, bool whole);
  void noteAnswer();
  void restart();
  void onFailure(const Utils::Failure &failure);
  void readAfter(Utils::Milliseconds pause);
  void readAt(Utils::TimePoint at);
  void postpone(Utils::TimePoint asOf, Utils::TimePoint askedAt);

  const Store &Source;
  Plan Steps;
  Take OnRecords;
  HttpIo::Timer Pause;
  std::minstd_rand Random;
  uint64_t Next = 0;
  /// Pages of all records that were read so far, since PagesFrom, and the key
  /// behind which the next one begins.
  TopicRead Pages;
  std::string PageAfter;
  Utils::TimePoint PagesFrom{};
  /// Counts the times at which the pages were begun anew.
  uint64_t Round = 0;
  bool Complete = false;
  bool Heard = false;
  uint32_t Failures = 0;
  bool Reading = false;
  /// A read ended or failed by now is followed by none before then.
  Utils::TimePoint NotBefore{};
  Utils::TimePoint CompleteUntil{};
};

} // namespace Gateway

#endif // GATEWAY_TOPICFEED_H
