#include "fleetlink/fleetlink.h"

#include <doctest/doctest.h>
#include <ostream>
#include <random>

using namespace FleetLink;

namespace {

Report sampleReport() {
  Report out;
  out.Member = "vm";
  out.Address = "10.0.0.1:7600";
  out.Incarnation = 5;
  out.Sequence = 6;
  out.Teams = {{hashName("kitchen"), -3, 4, 5, 6, 7, {{1, 2, 3, 4}}}};
  out.Waiting = {{"s", "m", "a1", 2, 400}};
  out.ModelMisses = {{"i-1", "m", ""}};
  out.Crashes = {{hashName("i-1"), 30, {{50, {1, 2}}}}};
  out.AnsweredParts = {{1, 20}};
  out.Quarantined = {{{2, 3}, 4000, 5000}};
  return out;
}

Heartbeat sampleHeartbeat() {
  Heartbeat out;
  out.Holder = "vm";
  out.Token = 9;
  out.Teams = {{hashName("kitchen"), -100, 20, 3, {{5, 250}}, 6}};
  EndpointEntry entry;
  entry.Endpoint = "i-1";
  entry.Address = "10.0.0.9:80";
  entry.Models = {{"m", 0, {{"a1", 15}}}};
  entry.ColdInMs = 2500;
  out.EncodedEntries = {encodeEntry(entry)};
  out.Loads = {{hashName("i-1"), 4}};
  out.Quarantined = {{{2, 3}, 4000, 5000}};
  out.WatchedParts = {1};
  return out;
}

} // namespace

TEST_CASE("encoded report decodes to the same fields") {
  auto datagram = decode(encode(sampleReport()));
  REQUIRE(datagram);
  auto *report = std::get_if<Report>(&datagram.value());
  REQUIRE(report);
  CHECK(report->Teams[0].Spent == -3);
  CHECK(report->Teams[0].Demanded == 7);
  CHECK(report->Teams[0].Calls.at(0).Hash == 2);
  CHECK(report->Teams[0].Calls.at(0).PatienceMs == 4);
  CHECK(report->Waiting[0].Adapter == "a1");
  CHECK(report->ModelMisses[0].Endpoint == "i-1");
  CHECK(report->Crashes[0].Suspects[0].Parts == std::vector<uint64_t>{1, 2});
  CHECK(report->AnsweredParts[0].AgeMs == 20);
  CHECK(report->Quarantined[0].PeriodMs == 5000);
}

TEST_CASE("encoded heartbeat decodes to the same fields") {
  auto datagram = decode(encode(sampleHeartbeat()));
  REQUIRE(datagram);
  auto *heartbeat = std::get_if<Heartbeat>(&datagram.value());
  REQUIRE(heartbeat);
  CHECK(heartbeat->Token == 9);
  CHECK(heartbeat->Teams[0].Level == -100);
  CHECK(heartbeat->Teams[0].Delays.at(0).RetryAfterMs == 250);
  CHECK(heartbeat->Teams[0].QueueLength == 6);
  CHECK(heartbeat->Entries[0].Models[0].Adapters[0].ReadyInMs == 15);
  CHECK(heartbeat->Entries[0].ColdInMs == 2500);
  CHECK(heartbeat->Quarantined[0].RemainingMs == 4000);
  CHECK(heartbeat->WatchedParts == std::vector<uint64_t>{1});
}

TEST_CASE("encoded grant request and grant decode to the same fields") {
  GrantRequest request{
      "vm", "10.0.0.1:7600", 5, 6, {{hashName("kitchen"), 1, 2, 3, 4, 5}}, {}};
  auto requestDatagram = decode(encode(request));
  REQUIRE(requestDatagram);
  REQUIRE(std::holds_alternative<GrantRequest>(requestDatagram.value()));
  CHECK(std::get<GrantRequest>(requestDatagram.value()).Teams[0].Requested ==
        3);
  auto grantDatagram =
      decode(encode(Grant{9, 5, 6, {{hashName("kitchen"), 7, 8, 9}}}));
  REQUIRE(grantDatagram);
  REQUIRE(std::holds_alternative<Grant>(grantDatagram.value()));
  CHECK(std::get<Grant>(grantDatagram.value()).Teams[0].Granted == 9);
}

TEST_CASE("encoded record request and fragment decode to the same fields") {
  auto datagram =
      decode(encode(RecordRequest{"10.0.0.1:7600", 5, 6, {7, 8}, 9}));
  REQUIRE(datagram);
  auto *request = std::get_if<RecordRequest>(&datagram.value());
  REQUIRE(request);
  CHECK(request->Address == "10.0.0.1:7600");
  CHECK(request->State == RecordState{7, 8});
  CHECK(request->Fragment == 9);
  datagram = decode(encode(RecordFragment{5, 6, {7, 8}, 30, 9, 10, "records"}));
  REQUIRE(datagram);
  auto *fragment = std::get_if<RecordFragment>(&datagram.value());
  REQUIRE(fragment);
  CHECK(fragment->Transfer == 6);
  CHECK(fragment->State == RecordState{7, 8});
  CHECK(fragment->AgeMs == 30);
  CHECK(fragment->Fragments == 10);
  CHECK(fragment->Bytes == "records");
}

TEST_CASE(
    "datagram that is truncated, too long or of another protocol is rejected") {
  std::string bytes = encode(sampleHeartbeat());
  for (size_t n = 0; n < bytes.size(); ++n)
    REQUIRE_FALSE(decode(bytes.substr(0, n)));
  CHECK_FALSE(decode(bytes + "x"));
  CHECK_FALSE(decode("GET / HTTP/1.1\r\n\r\n"));
}

TEST_CASE("datagram with random bytes decodes or fails with Corrupt") {
  std::mt19937_64 random(3);
  std::string good = encode(sampleReport());
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = good;
    for (int n = 0; n < 3; ++n)
      bytes[random() % bytes.size()] = char(random());
    auto result = decode(bytes); // Must not throw or allocate without bound.
    if (!result)
      REQUIRE(result.error().Code == Utils::Errc::Corrupt);
  }
}
