#ifndef TESTS_SCRIPTEDHOLDER_H
#define TESTS_SCRIPTEDHOLDER_H

#include "codec/codec.h"
#include "duty/serialize.h"
#include "gatewayfixture.h"

#include <asio/ip/udp.hpp>
#include <doctest/doctest.h>
#include <string>
#include <vector>

/// A gateway and two endpoints of a plain service.
struct FollowerFixture : GatewayFixture {
  FollowerFixture() {
    addRoute("/unsafe/", "s", Fleet::RouteKind::Unsafe);
    for (int i = 0; i < 2; ++i)
      addEndpoint("s").Respond = [](const Http::Request &) {
        return Script{answer(200, "ok")};
      };
  }
  void waitFor(std::chrono::milliseconds time) {
    runUntil([&, until = Utils::BootClock::now() + time] {
      return Utils::BootClock::now() >= until;
    });
  }
  size_t knownEndpoints() {
    return size_t(metric("hickory_gateway_endpoints"));
  }
  double metric(const std::string &name) {
    std::string text = metrics();
    size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? -1
               : std::stod(text.substr(at + name.size() + 2));
  }
  /// Sends calls and returns how many of them reached the endpoint.
  size_t callsTo(const ScriptedEndpoint &endpoint) {
    constexpr int calls = 20;
    size_t before = endpoint.Requests.size();
    for (int i = 0; i < calls; ++i)
      CHECK(statusOf(call("/unsafe/")) == 200);
    return endpoint.Requests.size() - before;
  }
};

/// A gateway that follows a holder which the test plays.
struct ScriptedHolderFixture : FollowerFixture {
  ScriptedHolderFixture() {
    Duty::Record record{"holder", addressOf(Socket), 1};
    DutyRecord = Codec::encode(record);
    DutyEnd = 1;
    for (const Fleet::EndpointReport &it : Reports)
      Entries.push_back({it.Id,
                         ++Revision,
                         false,
                         false,
                         it.Service,
                         it.Address,
                         it.FailureDomain,
                         it.Slots,
                         it.StartedUnixMs,
                         it.Sequence,
                         {}});
    receive();
  }
  static std::string addressOf(const asio::ip::udp::socket &socket) {
    auto local = socket.local_endpoint();
    return textOf({local.address(), local.port()});
  }
  void receive() {
    Socket.async_receive(asio::buffer(Buffer), [this](const std::error_code &ec,
                                                      size_t n) {
      if (ec)
        return;
      auto datagram = FleetLink::decode(std::string_view(Buffer).substr(0, n));
      if (auto *it = datagram
                         ? std::get_if<FleetLink::Report>(&datagram.value())
                         : nullptr) {
        Received.push_back(*it);
        if (Answers)
          answerReport(*it);
      }
      receive();
    });
  }
  /// Answers a report with the whole table.
  void answerReport(const FleetLink::Report &report) {
    FleetLink::Heartbeat out;
    out.Holder = "holder";
    out.Address = addressOf(Socket);
    out.Token = 1;
    out.RecordEnd = 1;
    out.Incarnation = report.Incarnation;
    out.Sequence = report.Sequence;
    out.Members = Members;
    out.Lineage = 1;
    out.TableRevision = Revision;
    out.TableComplete = true;
    out.StoreEra = InEra;
    out.EndpointsNext = EndpointsRead;
    out.EndpointsAgeMs =
        uint32_t(Utils::msBetween(EndpointsReadAt, Utils::BootClock::now()));
    for (const FleetLink::EndpointEntry &it : Entries)
      out.EncodedEntries.push_back(FleetLink::encodeEntry(it));
    Socket.send_to(
        asio::buffer(FleetLink::encode(out)),
        {asio::ip::address_v4::loopback(), Settings.FirstInternalPort});
  }

  asio::ip::udp::socket Socket{Loop, {asio::ip::address_v4::loopback(), 0}};
  std::string Buffer = std::string(FleetLink::MaxDatagramBytes, ' ');
  std::vector<FleetLink::EndpointEntry> Entries;
  uint64_t Revision = 0;
  uint32_t Members = 2;
  bool Answers = true;
  /// How far, and when, the holder has read the endpoints' topic.
  StoreEra::Era InEra;
  uint64_t EndpointsRead = 0;
  Utils::TimePoint EndpointsReadAt = Utils::BootClock::now();
  std::vector<FleetLink::Report> Received;
};

#endif // TESTS_SCRIPTEDHOLDER_H
