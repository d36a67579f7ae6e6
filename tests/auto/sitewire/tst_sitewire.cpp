#include "samples.h"

#include "platform/callheaders.h"
#include "platform/endpointentry.h"
#include "platform/engineclient.h"
#include "platform/keyedlog.h"
#include "platform/operatorconfig.h"
#include "platform/storeclient.h"
#include "platform/systemsettings.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;
using namespace Platform;
using nlohmann::json;

namespace {

struct CallWireFixture {
  Gateway::CallWire Wire = makeCallWire();
  Http::Request Request;

  CallWireFixture() {
    Request.Method = "POST";
    Request.Target = "/p/1";
    Request.Headers.add("Request-Id", "r1");
    Request.Headers.add("Credential", "secret");
    Request.Headers.add("Model", "m/a3");
    Request.Headers.add("Token-Counts", "1460,80");
    Request.Headers.add("Prompt-Prefix", "5c:800,91:410");
    Request.Headers.add("Deadline-Milliseconds", "5000");
  }
  Http::Request forwarded(const std::string &team) {
    return Wire.Forward(Request, {"i-1", team, 1234ms, 3, ""});
  }
};

} // namespace

TEST_CASE_FIXTURE(
    CallWireFixture,
    "caller's header fields are decoded into the metadata of the call") {
  auto metadata = Wire.Decode(Request);
  REQUIRE(metadata);
  CHECK(metadata->Id == "r1");
  CHECK(metadata->Model == "m");
  CHECK(metadata->Adapter == "a3");
  CHECK(metadata->Timeout == 5000ms);
  CHECK(metadata->Tokens == std::pair(1460U, 80U));
  REQUIRE(metadata->Prompt.size() == 2);
  CHECK(metadata->Prompt[1].Id == "91");
  CHECK(metadata->Prompt[1].Tokens == 410);
}

TEST_CASE_FIXTURE(CallWireFixture,
                  "invalid header field is an error that names it") {
  for (const char *name :
       {"Deadline-Milliseconds", "Token-Counts", "Prompt-Prefix"}) {
    Http::Request request = Request;
    request.Headers.erase(name);
    request.Headers.add(name, "x");
    auto metadata = Wire.Decode(request);
    REQUIRE_FALSE(metadata);
    CHECK(metadata.error().What.find(name) != std::string::npos);
  }
  Request.Headers.erase("Request-Id");
  CHECK_FALSE(Wire.Decode(Request));
}

TEST_CASE_FIXTURE(CallWireFixture,
                  "forwarded call carries the team and not the access key") {
  Request.Headers.add("Tenant", "forged");
  Http::Request out = forwarded("kitchen");
  CHECK(out.Headers.find("Credential") == nullptr);
  CHECK(*out.Headers.find("Tenant") == "kitchen");
  CHECK(*out.Headers.find("Expect-Instance") == "i-1");
  CHECK(*out.Headers.find("Deadline-Milliseconds") == "1234");
  CHECK(*out.Headers.find("Request-Priority") == "3");
  CHECK(*out.Headers.find("Request-Id") == "r1");
  CHECK(*out.Headers.find("Prompt-Prefix") == "5c:800,91:410");
}

TEST_CASE_FIXTURE(CallWireFixture,
                  "reserved header fields of the caller are not forwarded") {
  for (const char *name : {"Hold", "Pin-Milliseconds", "Cache-Backup",
                           "Kv-From", "Kv-Fetch", "Tenant", "Expect-Instance"})
    Request.Headers.add(name, "forged");
  Http::Request out = forwarded("");
  for (const Http::Field &it : out.Headers)
    CHECK(it.Value != "forged");
}

TEST_CASE_FIXTURE(CallWireFixture,
                  "call counts as not run only if the endpoint states so") {
  Http::ResponseHead head{503, "", {}};
  CHECK_FALSE(Wire.Reply(head).NotExecuted);
  head.Headers.add("Not-Executed", "1");
  CHECK(Wire.Reply(head).NotExecuted);
  CHECK(Wire.Reply({421, "", {}}).NotExecuted);
}

// Issue 37: the statement was believed with any status and any ids.
TEST_CASE_FIXTURE(CallWireFixture,
                  "response that contradicts itself proves neither an answer "
                  "nor that the call has not run") {
  Http::ResponseHead head{200, "", {}};
  head.Headers.add("Request-Id", "r1");
  head.Headers.add("Response-Seal", "s");
  head.Headers.add("Not-Executed", "1");
  CHECK_FALSE(Wire.Reply(head).NotExecuted);
  CHECK_FALSE(Wire.Reply(head).Genuine);
  head.Status = 503;
  CHECK(Wire.Reply(head).NotExecuted);
  head.Headers.add("Request-Id", "r2");
  CHECK_FALSE(Wire.Reply(head).NotExecuted);
  CHECK_FALSE(Wire.Reply(head).Genuine);
}

// Issue 37: an endpoint's own answers with these statuses reached callers.
TEST_CASE_FIXTURE(CallWireFixture,
                  "statuses that promise callers not-run are told from those "
                  "that do not") {
  for (unsigned status : {408U, 421U, 429U, 503U})
    CHECK(Wire.Reply({status, "", {}}).PromisesNotExecuted);
  for (unsigned status : {200U, 400U, 404U, 500U, 502U, 504U})
    CHECK_FALSE(Wire.Reply({status, "", {}}).PromisesNotExecuted);
}

TEST_CASE(
    "endpoint notice is decoded from Server-Leaving and from Retry-After of a "
    "503") {
  Http::ResponseHead head{503, "", {}};
  head.Headers.add("Retry-After", "1.25");
  CHECK(Platform::decodeNotice(head).Backoff == 1250ms);
  CHECK_FALSE(Platform::decodeNotice(head).Leaving);
  head.Status = 500;
  CHECK_FALSE(Platform::decodeNotice(head).Backoff);
  head.Headers.add("Server-Leaving", "1");
  CHECK(Platform::decodeNotice(head).Leaving);
  for (const char *it : {"-1", "soon", "", "nan", "1e300"}) {
    Http::ResponseHead invalid{503, "", {}};
    invalid.Headers.add("Retry-After", it);
    auto backoff = Platform::decodeNotice(invalid).Backoff;
    CHECK((!backoff || (*backoff > 0ms && *backoff <= 1h)));
  }
}

TEST_CASE("limit on calls is decoded from Server-Limit of any answer") {
  for (unsigned status : {200U, 429U, 503U}) {
    Http::ResponseHead head{status, "", {}};
    CHECK_FALSE(Platform::decodeNotice(head).CallsPerSecond);
    head.Headers.add("Server-Limit", "6.5");
    CHECK(Platform::decodeNotice(head).CallsPerSecond == 6.5);
  }
  for (const char *it : {"-1", "few", "", "nan", "inf", "3 a second"}) {
    Http::ResponseHead invalid{200, "", {}};
    invalid.Headers.add("Server-Limit", it);
    CHECK_FALSE(Platform::decodeNotice(invalid).CallsPerSecond);
  }
}

TEST_CASE_FIXTURE(
    CallWireFixture,
    "response with a content encoding or without a signature is not genuine") {
  Http::ResponseHead head{200, "", {}};
  CHECK_FALSE(Wire.Reply(head).Genuine);
  head.Headers.add("Response-Seal", "1.2");
  CHECK(Wire.Reply(head).Genuine);
  head.Headers.add("Content-Encoding", "gzip");
  CHECK_FALSE(Wire.Reply(head).Genuine);
}

TEST_CASE_FIXTURE(CallWireFixture, "refusal states Retry-After in seconds") {
  Http::ResponseHead head = Wire.Answer(503, "r1", 250ms);
  CHECK(*head.Headers.find("Retry-After") == "0.250");
  CHECK(*head.Headers.find("Request-Id") == "r1");
}

// Guards against an endpoint that is unknown for a null member.
TEST_CASE("optional member of an endpoint's entry or report that is null "
          "counts as missing") {
  json text = entry();
  text["available"] = nullptr;
  text["born"] = nullptr;
  text["models"][0]["adapters"] = nullptr;
  auto report = decodeEndpointEntry("i-1", text.dump());
  REQUIRE(report);
  CHECK(report->Models[0].Adapters.empty());
  text["models"] = nullptr;
  CHECK(decodeEndpointEntry("i-1", text.dump()));
  CHECK(decodeEngineReport(R"({"models":[{"name":"m","version":1,
      "adapters":null}],"busy":false,"sequence":2,"incoming":null,
      "available":{"in_memory":null,"on_disk":["m"]}})"));
}

TEST_CASE(
    "endpoint entry is decoded with its models, adapters and cached weights") {
  auto report = decodeEndpointEntry("i-1", entry().dump());
  REQUIRE(report);
  CHECK(report->Id == "i-1");
  CHECK(report->StartedUnixMs == 7);
  CHECK(report->Models[0].Adapters == std::vector<std::string>{"a1"});
  CHECK(report->OnDisk.size() == 2);
}

TEST_CASE("endpoint entry with a missing or invalid member is an error") {
  for (const char *member : {"service", "address", "state", "sequence"}) {
    json forged = entry();
    forged.erase(member);
    CHECK_FALSE(decodeEndpointEntry("i-1", forged.dump()));
    forged[member] = json::array();
    CHECK_FALSE(decodeEndpointEntry("i-1", forged.dump()));
  }
  json invalid = entry();
  invalid["state"] = "resting";
  CHECK_FALSE(decodeEndpointEntry("i-1", invalid.dump()));
  CHECK_FALSE(decodeEndpointEntry("i-1", "\xff\xfe"));
  CHECK_FALSE(decodeEndpointEntry("i-1", "[]"));
}

TEST_CASE("adapters that are being loaded are included in the engine report") {
  auto report = decodeEngineReport(
      R"({"stage":"combined","models":[{"name":"m","version":1,
      "adapters":["a1"]}],"busy":false,"sequence":2,"waiting":1,"running":12,
      "incoming":["m/a2@1","m/a1@1"],
      "available":{"in_memory":[],"on_disk":["m"]}})");
  REQUIRE(report);
  CHECK(report->Orders == 2);
  REQUIRE(report->Models.size() == 1);
  CHECK(report->Models[0].Adapters == std::vector<std::string>{"a1", "a2"});
  CHECK_FALSE(decodeEngineReport(R"({"models":[]})"));
}

TEST_CASE("encoded order contains the fencing token, the precondition and the "
          "adapter") {
  Residency::Order order{Residency::Change::LoadAdapter, "m", "a3", {}, 0};
  json body = json::parse(encodeOrder(order, {"vm", 41, 2}));
  CHECK(body == json::parse(R"({"operation":"load","model":"m","adapter":"a3",
    "holder":"vm","fencing_token":41,"precondition":2})"));
  order = {Residency::Change::UnloadModel, "m", "", {}, 0};
  body = json::parse(encodeOrder(order, {"vm", 41, 2}));
  CHECK(body["operation"] == "unload");
  CHECK_FALSE(body.contains("adapter"));
}

TEST_CASE("result of an order is unknown for a 5xx status") {
  CHECK(orderReplyOf(202) == Gateway::OrderReply::Accepted);
  CHECK(orderReplyOf(412) == Gateway::OrderReply::Fenced);
  CHECK(orderReplyOf(500) == Gateway::OrderReply::Unknown);
  CHECK(orderReplyOf(503) == Gateway::OrderReply::Unknown);
}

TEST_CASE(
    "log page is decoded into the encoded records, and a truncated page is an "
    "error") {
  std::string page = std::string(7, '\0') + char(9) + std::string(8, '\0');
  page += encodeKeyedRecord("k", "value") + encodeKeyedRecord("dropped", "");
  auto decoded = decodeLogPage(page);
  REQUIRE(decoded);
  CHECK(decoded->End == 9);
  REQUIRE(decoded->Records.size() == 2);
  CHECK(decoded->Records[0].Key == "k");
  CHECK(decoded->Records[0].Value == "value");
  CHECK_FALSE(decoded->Records[1].Value);
  CHECK_FALSE(decodeLogPage(page.substr(0, page.size() - 1)));
  CHECK_FALSE(decodeLogPage("short"));
}

TEST_CASE("newest records are decoded from base64") {
  auto page = decodeNewestPage(
      R"({"items":[{"key":"config","value":"YWI=","offset":4}],"more":false,
      "end":6})");
  REQUIRE(page);
  CHECK(page->End == 6);
  CHECK(page->Records[0].Value == "ab");
  CHECK_FALSE(decodeNewestPage(R"({"items":[]})"));
  CHECK_FALSE(decodeNewestPage(
      R"({"items":[{"key":"k","value":"Y*I=","offset":4}],"more":false,
      "end":6})"));
}

namespace {

struct StoreClientFixture {
  asio::io_context Loop;
  HttpIo::ClientPool Pool{Loop};
  Gateway::Store Store = makeStoreClient(Pool, Loop, "127.0.0.1:9");
};

} // namespace

// Guards against an evacuation that is not recognized, and against another key
// that is taken for one.
TEST_CASE_FIXTURE(StoreClientFixture,
                  "key of an evacuation names the failure domain, which may "
                  "contain any character") {
  CHECK(Store.EvacuatedDomain("evacuate/z-1") == "z-1");
  CHECK(Store.EvacuatedDomain("evacuate/a/b c") == "a/b c");
  for (const char *key : {"", "config", "evacuate", "evacuate/", "evacuated/z",
                          "x/evacuate/z", "Evacuate/z"}) {
    CAPTURE(key);
    CHECK_FALSE(Store.EvacuatedDomain(key));
  }
}

// Guards against a value with members of a later version that is reported as
// unreadable, and against one of another type that is not.
TEST_CASE_FIXTURE(StoreClientFixture,
                  "value of an evacuation is a JSON object with any members") {
  CHECK(Store.CheckEvacuation("{}"));
  CHECK(Store.CheckEvacuation(R"({"until":{"s":3}})"));
  for (const char *value : {"", "{", "[]", "null", "1", "\"z\"", "{} x"}) {
    CAPTURE(value);
    CHECK_FALSE(Store.CheckEvacuation(value));
  }
}

TEST_CASE("settings file without a required bound is an error that names it") {
  json text = json::parse(R"({"node_name":"v","ip_address":"10.0.0.1",
    "zone":"z","listen_addresses":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
    "internal_port_range":[7600,7615],"heartbeat_interval_ms":1200,
    "bootstrap":false,
    "limits":{"memory_mb":260,"cpu_share":0.25,"cores":2,"link_mbps":10.0},"platform":{"address":"10.0.0.2:3"},
    "bounds":{"grace_s":8,"revoke_ms":5000,"drain_ms":2000,"lease_ms":3000,
    "thaw_slack_ms":300,"retry_budget_ratio":0.2,"budget_window_s":10,
    "retry_budget_slack":56,"quota_window_s":8,"quota_overshoot":0.1,
    "quota_slack":110000,"ceiling_window_s":5,"ceiling_overshoot":1.1}})");
  auto settings = decodeSettings(text.dump());
  REQUIRE(settings);
  CHECK(settings->StopGrace == 8s);
  CHECK(settings->ConfigurationApply == 2s);
  CHECK(settings->FirstInternalPort == 7600);
  CHECK(settings->Cores == 0.5);
  CHECK(settings->ColdOvershoot == 1.5);
  text["bounds"]["cold_overshoot"] = 1.2;
  text["bounds"]["cold_slack"] = 3;
  settings = decodeSettings(text.dump());
  REQUIRE(settings);
  CHECK(settings->ColdOvershoot == 1.2);
  CHECK(settings->ColdSlack == 3);
  text["bounds"]["configuration_apply_ms"] = 3000;
  CHECK(decodeSettings(text.dump())->ConfigurationApply == 3s);
  CHECK_FALSE(settings->EvacuationBound);
  text["bounds"]["evacuation_ms"] = 5000;
  text["zones"] = {{"z", "r"}};
  settings = decodeSettings(text.dump());
  REQUIRE(settings);
  CHECK(settings->EvacuationBound == 5s);
  CHECK_FALSE(hasSeveralRegions(*settings));
  text["zones"]["y"] = "q";
  CHECK(hasSeveralRegions(*decodeSettings(text.dump())));
  for (const char *it : {"cold_overshoot", "cold_slack", "evacuation_ms",
                         "configuration_apply_ms", "require_fencing"})
    text["bounds"][it] = nullptr;
  text["zones"] = nullptr;
  settings = decodeSettings(text.dump());
  REQUIRE(settings);
  CHECK(settings->ColdOvershoot == 1.5);
  CHECK_FALSE(settings->EvacuationBound);
  text["bounds"].erase("revoke_ms");
  settings = decodeSettings(text.dump());
  REQUIRE_FALSE(settings);
  CHECK(settings.error().What.find("revoke_ms") != std::string::npos);
}
