#include "gatewayfixture.h"

#include "platform/endpointentry.h"
#include "platform/keyedlog.h"

#include <doctest/doctest.h>

namespace {

/// An entry like those of sound endpoints, with one member replaced or added.
std::string entryWith(const std::string &name, const std::string &value) {
  std::map<std::string, std::string> members = {
      {"service", "\"s\""},
      {"address", "\"127.0.0.1:9\""},
      {"zone", "\"z\""},
      {"version", "\"v1\""},
      {"slots", "4"},
      {"state", "\"ready\""},
      {"cold_remaining_ms", "0"},
      {"sequence", "1"},
      {"born", "1790000000000"},
      {"models", "[]"},
  };
  members[name] = value;
  std::string text;
  for (const auto &[key, it] : members)
    text.append(text.empty() ? "{\"" : ",\"")
        .append(key)
        .append("\":")
        .append(it);
  return text + "}";
}

std::string nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string modelNamed(const std::string &name) {
  return R"([{"name":")" + name + R"(","version":1,"adapters":[]}])";
}

/// As deep as the store's largest record allows.
constexpr size_t MaxDepth = 130'000;
/// Longer than a datagram between gateways.
constexpr size_t LongName = 100'000;

std::vector<std::string> oddEntries() {
  std::vector<std::string> out = {
      nested(MaxDepth), std::string(2 * MaxDepth, '['), "\xff\xfe", "", "null",
      "1e999"};
  for (const char *member : {"models", "slots", "address", "note"})
    out.push_back(entryWith(member, nested(MaxDepth)));
  for (const char *number : {"1e300", "-1", "99999999999999999999999999",
                             "4294967296", "1e999", "2.5"})
    out.push_back(entryWith("slots", number));
  for (const char *member : {"sequence", "born", "cold_remaining_ms"})
    for (const char *number : {"1e300", "-1e300", "18446744073709551615"})
      out.push_back(entryWith(member, number));
  for (const char *address :
       {"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1",
        "127.0.0.1:", "host:80", "", "127.0.0.1:80:80", "999.0.0.1:80"})
    out.push_back(entryWith("address", "\"" + std::string(address) + "\""));
  for (const char *member : {"service", "zone", "address"})
    out.push_back(entryWith(member, "\"" + std::string(LongName, 'x') + "\""));
  out.push_back(entryWith("models", modelNamed(std::string(LongName, 'x'))));
  return out;
}

struct OddEntriesFixture : GatewayFixture {
  OddEntriesFixture() {
    addRoute("/safe/", "s", Fleet::RouteKind::Safe);
    addEndpoint("s");
    int n = 0;
    for (const std::string &it : oddEntries())
      RawEntries["odd-" + std::to_string(++n)] = it;
  }
  void checkServes() {
    for (int i = 0; i < 20; ++i) {
      Scripts = {{answer(200, "ok")}};
      CHECK(statusOf(call("/safe/")) == 200);
    }
    CHECK(Endpoints.front().Requests.size() == 20);
  }
};

} // namespace

// Issue 37, other operators: one odd entry among those of the endpoints ended
// the gateways that read it, or kept them from reading on.
TEST_CASE("odd entry names no endpoint") {
  CHECK(Platform::decodeEndpointEntry("i-1", entryWith("slots", "4")));
  for (const std::string &it : oddEntries()) {
    CAPTURE(it.substr(0, 200));
    CHECK_FALSE(Platform::decodeEndpointEntry("i-1", it));
  }
}

TEST_CASE_FIXTURE(OddEntriesFixture,
                  "gateway that starts with odd entries in the list serves by "
                  "the sound ones") {
  start();
  checkServes();
}

TEST_CASE_FIXTURE(OddEntriesFixture,
                  "gateway that reads odd entries while it runs serves by the "
                  "sound ones and reads on") {
  auto odd = std::exchange(RawEntries, {});
  start();
  RawEntries = odd;
  awaitEndpointReads();
  checkServes();
  Endpoints.front().Requests.clear();
  addEndpoint("s");
  drainEndpoint("i-1");
  Scripts = {{answer(200, "ok")}};
  CHECK(statusOf(call("/safe/")) == 200);
  CHECK(Endpoints.back().Requests.size() == 1);
}

// An entry longer than a datagram kept the whole table from other gateways.
TEST_CASE_FIXTURE(OddEntriesFixture,
                  "holder that has read odd entries passes the whole table on "
                  "to other gateways") {
  start();
  FleetLink::Report report;
  bool listsSound = false;
  while (!report.TableComplete) {
    FleetLink::Heartbeat heartbeat = exchangeReport(report);
    for (const FleetLink::EndpointEntry &it : heartbeat.Entries)
      listsSound = listsSound || it.Endpoint == "i-1";
    report.Token = heartbeat.Token;
    report.Lineage = heartbeat.Lineage;
    report.TableRevision = heartbeat.TableRevision;
    report.TableComplete = heartbeat.TableComplete && listsSound;
  }
}

TEST_CASE("record of a log page whose key cannot be read hides no other") {
  using namespace std::string_literals;
  std::string page = std::string(7, '\0') + char(9) + std::string(8, '\0');
  page += Platform::encodeKeyedRecord("a", "1");
  page += "\0\0\0\0"s;      // No key.
  page += "\0\0\0\2\xffk"s; // A key longer than the record.
  page += Platform::encodeKeyedRecord("b", "2");
  auto decoded = Platform::decodeLogPage(page);
  REQUIRE(decoded);
  REQUIRE(decoded->Records.size() == 4); // Offsets count every record.
  CHECK(decoded->Records[0].Key == "a");
  CHECK(decoded->Records[3].Key == "b");
}

TEST_CASE("key that is not UTF-8 hides no other of the newest records") {
  auto page = Platform::decodeNewestPage(
      "{\"items\":[{\"key\":\"\xff\xfe\",\"value\":\"YWI=\",\"offset\":1},"
      "{\"key\":\"i-1\",\"value\":\"YWI=\",\"offset\":4}],\"more\":false,"
      "\"end\":6}");
  REQUIRE(page);
  REQUIRE(page->Records.size() == 2);
  CHECK(page->Records[1].Key == "i-1");
}
