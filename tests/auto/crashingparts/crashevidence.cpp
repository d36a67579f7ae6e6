#include "gateway/crashevidence.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Gateway::CrashEvidence;
using Utils::TimePoint;

namespace {

constexpr Quarantine::Part Bad = 3;

/// The evidence of one gateway and its messages with holders, in logical time.
struct EvidenceFixture {
  CrashEvidence Evidence;
  TimePoint Now = TimePoint{} + 1h;
  uint64_t Sequence = 0;

  FleetLink::Report report(int64_t holderToken) {
    Now += 250ms;
    FleetLink::Report out;
    out.Sequence = ++Sequence;
    Evidence.addTo(out, holderToken, Now);
    return out;
  }
  void heartbeat(int64_t token, uint64_t acked,
                 std::vector<FleetLink::QuarantinedParts> quarantined = {},
                 std::vector<uint64_t> watched = {}) {
    FleetLink::Heartbeat in;
    in.Token = token;
    in.Sequence = acked;
    in.Quarantined = std::move(quarantined);
    in.WatchedParts = std::move(watched);
    Evidence.apply(in, Now);
  }
  void crash(uint32_t endpoint, bool hasHolder = true) {
    Now += 100ms;
    Evidence.addCrash({endpoint, Now, {{{Bad}, Now - 10ms}}}, hasHolder, Now);
  }
  bool refuses() const {
    return Evidence.quarantinedUntil({Bad}, Now).has_value();
  }
};

const FleetLink::QuarantinedParts BadEntry{{Bad}, 60000, 300000};

} // namespace

TEST_CASE_FIXTURE(EvidenceFixture,
                  "crash is reported until the holder has acknowledged it") {
  crash(1);
  CHECK(report(1).Crashes.size() == 1);
  auto again = report(1);
  CHECK(again.Crashes.size() == 1);
  CHECK(again.Crashes[0].AgeMs == 500);
  heartbeat(1, 1);
  CHECK(report(1).Crashes.empty());
}

// The holder may die between the crashes and its decision.
TEST_CASE_FIXTURE(EvidenceFixture,
                  "crash that an earlier holder has acknowledged is reported "
                  "to a new holder") {
  crash(1);
  report(1);
  heartbeat(1, 1);
  CHECK(report(2).Crashes.size() == 1);
  CHECK(report(2).Crashes.size() == 1);
  heartbeat(2, Sequence);
  CHECK(report(2).Crashes.empty());
}

TEST_CASE_FIXTURE(EvidenceFixture,
                  "new holder that has not received a quarantine does not lift "
                  "it, and one that has received it may") {
  report(1);
  heartbeat(1, 1, {BadEntry});
  CHECK(refuses());
  heartbeat(2, 0);
  CHECK(refuses());
  CHECK(report(2).Quarantined.size() == 1);
  heartbeat(2, Sequence, {BadEntry});
  CHECK(refuses());
  CHECK(report(2).Quarantined.empty());
  heartbeat(2, Sequence);
  CHECK_FALSE(refuses());
}

TEST_CASE_FIXTURE(EvidenceFixture,
                  "quarantine lapses at its deadline without a holder") {
  report(1);
  heartbeat(1, 1, {BadEntry});
  Now += 59s;
  CHECK(refuses());
  Now += 2s;
  CHECK_FALSE(refuses());
}

// The store may be away when the holder dies, so that none follows.
TEST_CASE_FIXTURE(EvidenceFixture,
                  "gateway without a holder quarantines by its own crashes and "
                  "reports that to the next holder") {
  for (uint32_t i = 1; i <= 3; ++i) {
    CHECK_FALSE(refuses());
    crash(i, false);
  }
  CHECK(refuses());
  CHECK(report(1).Quarantined.size() == 1);
}

TEST_CASE_FIXTURE(EvidenceFixture,
                  "gateway without a holder does not quarantine a part that it "
                  "has seen answered") {
  for (uint32_t i = 1; i <= 6; ++i) {
    crash(i, false);
    Evidence.addAnswer({Bad}, Now);
  }
  CHECK_FALSE(refuses());
}

TEST_CASE_FIXTURE(
    EvidenceFixture,
    "answers are reported for the parts that the holder watches") {
  Evidence.addAnswer({Bad, 7}, Now);
  CHECK(report(1).AnsweredParts.empty());
  heartbeat(1, 1, {}, {Bad});
  auto sent = report(1).AnsweredParts;
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].Part == Bad);
  CHECK(sent[0].AgeMs == 500);
}
