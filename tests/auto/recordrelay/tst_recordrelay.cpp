#include "gateway/recordrelay.h"

#include <doctest/doctest.h>
#include <ostream>
#include <random>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

constexpr double FastLink = 1000;
constexpr uint64_t FirstOffset = 7;
/// Some fragments.
constexpr size_t LargeBytes = 150'000;

/// A holder that has read the whole topic at ReadAt.
struct Holder {
  explicit Holder(double linkMbps = FastLink) : Source(linkMbps) {
    write("config", std::string(LargeBytes, 'a'));
    write("evacuate/z", "{}");
    Next = FirstOffset;
  }
  void write(const std::string &key, std::optional<std::string> value) {
    ++Next;
    Source.apply({{key, std::move(value)}}, false);
  }
  std::optional<FleetLink::RecordFragment>
  answer(const FleetLink::RecordRequest &request, Utils::TimePoint now) {
    return Source.answer(request, {{}, Next}, ReadAt, now);
  }

  RecordSource Source;
  uint64_t Next = FirstOffset;
  Utils::TimePoint ReadAt = Utils::TimePoint(1h);
};

std::map<std::string, std::string> byKey(const RelayedRecords &relayed) {
  std::map<std::string, std::string> out;
  for (const TopicRecord &it : relayed.Records)
    out[it.Key] = it.Value.value_or("");
  return out;
}

/// A transfer whose requests are answered at once as the test says.
struct TransferFixture {
  TransferFixture() { Transfer.start(Now); }
  /// Sends the next request when it is due; every other step only lets time
  /// pass.
  std::optional<FleetLink::RecordFragment> exchange(Holder &holder) {
    Now += 1ms;
    auto request = Transfer.makeRequest(Now);
    return request ? holder.answer(*request, Now) : std::nullopt;
  }
  std::optional<RelayedRecords>
  deliver(const std::optional<FleetLink::RecordFragment> &fragment) {
    return fragment ? Transfer.handleFragment(*fragment, Now) : std::nullopt;
  }
  /// Runs until the transfer ends.
  std::optional<RelayedRecords> finish(Holder &holder) {
    while (Transfer.isActive())
      if (auto done = deliver(exchange(holder)))
        return done;
    return std::nullopt;
  }

  Utils::TimePoint Now = Utils::TimePoint(1h) + 1ms;
  RecordTransfer Transfer;
};

} // namespace

TEST_CASE_FIXTURE(TransferFixture,
                  "transfer yields all records and the holder's offset") {
  Holder holder;
  auto relayed = finish(holder);
  REQUIRE(relayed);
  CHECK(relayed->Next.Offset == holder.Next);
  CHECK(byKey(*relayed).at("config") == std::string(LargeBytes, 'a'));
  CHECK(byKey(*relayed).at("evacuate/z") == "{}");
  CHECK_FALSE(Transfer.isActive());
}

TEST_CASE_FIXTURE(TransferFixture,
                  "deleted record and record that a snapshot lacks are not "
                  "relayed") {
  Holder holder;
  holder.write("evacuate/z", std::nullopt);
  auto relayed = finish(holder);
  REQUIRE(relayed);
  CHECK(relayed->Records.size() == 1);
  holder.Source.apply({{"other", "v"}}, true);
  Transfer.start(Now);
  relayed = finish(holder);
  REQUIRE(relayed);
  CHECK(byKey(*relayed).count("config") == 0);
}

TEST_CASE_FIXTURE(TransferFixture, "lost fragment is requested again") {
  Holder holder;
  REQUIRE(exchange(holder));
  REQUIRE_FALSE(exchange(holder)); // No repetition before the time-out.
  Now += 200ms;
  CHECK(finish(holder));
}

TEST_CASE_FIXTURE(TransferFixture,
                  "transfer starts over when the topic changes midway") {
  Holder holder;
  CHECK_FALSE(deliver(exchange(holder)));
  auto early = exchange(holder);
  holder.write("config", std::string(LargeBytes, 'b'));
  CHECK_FALSE(deliver(early));
  auto relayed = finish(holder);
  REQUIRE(relayed);
  CHECK(relayed->Next.Offset == holder.Next);
  CHECK(byKey(*relayed).at("config") == std::string(LargeBytes, 'b'));
}

// Two gateways' reads of a snapshot may differ at the same offset.
TEST_CASE_FIXTURE(TransferFixture,
                  "fragments of two holders with different records at one "
                  "offset are not combined") {
  Holder holder;
  Holder next;
  next.write("config", std::string(LargeBytes, 'b'));
  next.Next = holder.Next;
  CHECK_FALSE(deliver(exchange(holder)));
  CHECK_FALSE(deliver(exchange(holder)));
  auto relayed = finish(next);
  REQUIRE(relayed);
  CHECK(byKey(*relayed).at("config") == std::string(LargeBytes, 'b'));
}

TEST_CASE_FIXTURE(TransferFixture,
                  "age of the holder's read counts from the first request") {
  Holder holder;
  Utils::TimePoint startedAt = Now;
  holder.ReadAt = Now - 400ms;
  CHECK_FALSE(deliver(exchange(holder)));
  Now += 300ms; // The fragments after the first one take their time.
  auto relayed = finish(holder);
  REQUIRE(relayed);
  CHECK(relayed->AsOf <= holder.ReadAt);
  CHECK(relayed->RequestedAt == startedAt);
}

TEST_CASE_FIXTURE(TransferFixture,
                  "transfer without an answer ends and can begin again") {
  Holder holder;
  for (int i = 0; i < 60 && Transfer.isActive(); ++i) {
    Now += 100ms;
    Transfer.makeRequest(Now);
  }
  CHECK_FALSE(Transfer.isActive());
  Transfer.start(Now);
  CHECK(finish(holder));
}

// Transfers of a whole fleet must leave the link to calls and heartbeats.
TEST_CASE("holder sends fragments within an eighth of its link") {
  constexpr double slowLink = 10;
  constexpr double shareBytesPerSecond = slowLink * 125'000 / 8;
  constexpr double burst = 40'000;
  Holder holder(slowLink);
  size_t sent = 0;
  Utils::TimePoint start = holder.ReadAt;
  for (Utils::TimePoint now = start; now < start + 10s; now += 1ms)
    if (auto fragment = holder.answer({}, now))
      sent += fragment->Bytes.size();
  CHECK(double(sent) <= 10 * shareBytesPerSecond + burst);
  CHECK(double(sent) >= 9 * shareBytesPerSecond);
}

// A key that was withdrawn must not be trusted longer than the bound, whatever
// the datagrams do: no relayed state may claim to be newer than the read of the
// store that showed it.
TEST_CASE("age of relayed records is never understated under loss, "
          "duplication, reordering, changes and other holders") {
  constexpr uint64_t seeds = 300;
  int finished = 0;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::vector<Holder> holders(2);
    // Complete states of the topic by (holder's) record, with the newest time
    // at which the store is known to have held it.
    std::map<std::pair<uint64_t, std::string>, Utils::TimePoint> lastRead;
    uint64_t offset = FirstOffset;
    std::string value(LargeBytes, 'a');
    std::vector<FleetLink::RecordFragment> inFlight;
    RecordTransfer transfer;
    Utils::TimePoint now = holders[0].ReadAt + 1ms;
    for (Holder &it : holders)
      it.ReadAt = now;
    lastRead[{offset, value}] = now;
    size_t current = 0;
    for (int i = 0; i < 400; ++i) {
      now += std::chrono::milliseconds(random() % 40);
      if (random() % 60 == 0)
        value = std::string(LargeBytes, char('a' + ++offset % 20));
      if (random() % 80 == 0)
        current = 1 - current;
      if (random() % 10 == 0) { // A holder reads the store.
        Holder &reader = holders[random() % 2];
        reader.Source.apply({{"config", value}, {"evacuate/z", "{}"}}, true);
        reader.Next = offset;
        reader.ReadAt = now;
        lastRead[{offset, value}] = now;
      }
      transfer.start(now);
      if (auto request = transfer.makeRequest(now))
        if (auto answer = holders[current].answer(*request, now))
          for (uint64_t copies = random() % 3; copies > 0; --copies)
            inFlight.push_back(*answer);
      while (!inFlight.empty() && random() % 3 != 0) {
        size_t pick = random() % inFlight.size();
        auto fragment = inFlight[pick];
        if (random() % 4 != 0) // Else it arrives once more later.
          inFlight.erase(inFlight.begin() + ptrdiff_t(pick));
        auto relayed = transfer.handleFragment(fragment, now);
        if (!relayed)
          continue;
        ++finished;
        auto records = byKey(*relayed);
        auto it = lastRead.find({relayed->Next.Offset, records.at("config")});
        REQUIRE(it != lastRead.end());
        REQUIRE(relayed->AsOf <= it->second);
      }
    }
  }
  CHECK(finished > int(seeds));
}

// A holder that has read a copy of the store would take others back to it.
TEST_CASE("record of an older configuration is relayed as the one in force") {
  std::vector<TopicRecord> copy = {{"config", "v1"}, {"evacuate/z", "{}"}};
  auto records = withConfigurationInForce(copy, true, "config", {"v2", ""});
  REQUIRE(records.size() == 2);
  CHECK(records[0].Value == "v2");
  CHECK(records[1].Value == "{}");
  CHECK(withConfigurationInForce({}, true, "config", {"v2", ""}).at(0).Value ==
        "v2");
  CHECK(withConfigurationInForce({}, false, "config", {"v2", ""}).empty());
  CHECK(withConfigurationInForce(copy, true, "config", {}).at(0).Value == "v1");
}

// Guards against a relay that hides a newer configuration which this build, and
// maybe not another one, cannot read.
TEST_CASE("configuration that cannot be read is relayed behind the one in "
          "force until a newer one can be") {
  std::vector<TopicRecord> read = {{"config", "v3"}};
  for (bool isSnapshot : {true, false}) {
    auto records =
        withConfigurationInForce(read, isSnapshot, "config", {"v2", "v3"});
    REQUIRE(records.size() == 2);
    CHECK(records[0].Value == "v2");
    CHECK(records[1].Key == unreadableKey("config"));
    CHECK(records[1].Value == "v3");
  }
  auto records = withConfigurationInForce(read, false, "config", {"v4", ""});
  REQUIRE(records.size() == 2);
  CHECK(records[1].Value == std::nullopt);
}
