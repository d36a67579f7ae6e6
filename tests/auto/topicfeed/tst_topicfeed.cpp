#include "gateway/topicfeed.h"

#include <doctest/doctest.h>

#include <map>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

/// A store whose topic has so many keys, told in pages, and a feed of it.
struct PagedTopic {
  PagedTopic() {
    It.ReadPage = [this](Topic, const std::string &after, Utils::TimePoint,
                         const Store::PageDone &done) {
      ++Calls[after];
      asio::post(Loop, [this, after, done] { answer(after, done); });
    };
    It.ReadFrom = [this](Topic, uint64_t from, Utils::Milliseconds,
                         Utils::TimePoint, const Store::ReadDone &done) {
      ReadFrom = from;
      asio::post(Loop, [from, done] { done(TopicRead{from, {}}); });
    };
  }

  void answer(const std::string &after, const Store::PageDone &done) {
    if (OnAnswer)
      OnAnswer(after);
    if (Refusals[after] > 0) {
      --Refusals[after];
      return done(Utils::failure(Utils::Errc::Unavailable, "too many reads"));
    }
    size_t page = after.empty() ? 0 : size_t(after[0] - 'a') + 1;
    std::string key(1, char('a' + page));
    TopicPage out{End++, {{key, "value"}}, page + 1 < Pages ? key : ""};
    done(std::move(out));
  }

  void play(const std::function<bool()> &until) {
    Feed.start(Utils::BootClock::now());
    while (!until() && Loop.run_one() > 0)
      continue;
  }

  asio::io_context Loop;
  Store It;
  size_t Pages = 4;
  uint64_t End = 100;
  std::map<std::string, int> Refusals;
  std::map<std::string, int> Calls;
  std::function<void(const std::string &after)> OnAnswer;
  uint64_t ReadFrom = 0;
  Utils::Milliseconds Patience{0};
  std::vector<std::vector<TopicRecord>> Taken;
  TopicFeed Feed{Loop,
                 It,
                 {Topic::Endpoints, [this] { return Patience; }, 1ms},
                 [this](const auto &records, bool whole) {
                   if (whole)
                     Taken.push_back(records);
                 }};
};

} // namespace

TEST_CASE_FIXTURE(PagedTopic,
                  "feed whose page is refused reads that page again "
                  "and none before it") {
  Refusals["b"] = 2;
  play([this] { return !Taken.empty() && ReadFrom > 0; });
  REQUIRE(Taken.size() == 1);
  CHECK(Taken[0].size() == Pages);
  CHECK(Taken[0][3].Key == "d");
  CHECK(Calls[""] == 1);
  CHECK(Calls["a"] == 1);
  CHECK(Calls["b"] == 3);
  CHECK(Calls["c"] == 1);
}

TEST_CASE_FIXTURE(PagedTopic,
                  "feed that has read all goes on from the end that "
                  "the first page told") {
  play([this] { return ReadFrom > 0; });
  CHECK(ReadFrom == 100);
}

TEST_CASE_FIXTURE(PagedTopic, "feed that hears all amid its pages begins anew "
                              "with the first one") {
  OnAnswer = [this](const std::string &after) {
    if (after != "b" || Calls["b"] > 1)
      return;
    Utils::TimePoint now = Utils::BootClock::now();
    Feed.hearAll(now, now);
    Feed.resume();
  };
  play([this] { return !Taken.empty(); });
  REQUIRE(Taken.size() == 1);
  CHECK(Taken[0].size() == Pages);
  CHECK(Taken[0][0].Key == "a");
  CHECK(Calls[""] == 2);
}

TEST_CASE_FIXTURE(PagedTopic, "feed that is told the topic in parts does not "
                              "read by itself") {
  Utils::TimePoint now = Utils::BootClock::now();
  Feed.start(now);
  Feed.awaitRest(now, now);
  Loop.run_for(50ms);
  CHECK(Calls.empty());
  Feed.resume();
  while (Taken.empty() && Loop.run_one() > 0)
    continue;
  CHECK(Taken.size() == 1);
}

TEST_CASE_FIXTURE(PagedTopic, "feed whose holder's reading is old reads by "
                              "itself all the same") {
  Utils::TimePoint now = Utils::BootClock::now();
  Feed.awaitRest(now - 1h, now);
  play([this] { return !Taken.empty(); });
  CHECK(Taken.size() == 1);
}
