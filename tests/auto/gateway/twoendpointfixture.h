#ifndef TESTS_TWOENDPOINTFIXTURE_H
#define TESTS_TWOENDPOINTFIXTURE_H

#include "gatewayfixture.h"

#include <string>

inline const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: @ID@\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string &data) {
  std::string text;
  Http::appendChunk(text, data);
  return text;
}

inline std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// A gateway with two endpoints of one service and a route of each kind.
struct TwoEndpointFixture : GatewayFixture {
  explicit TwoEndpointFixture(bool queueOverLimit = false) {
    Settings.QueueOverLimit = queueOverLimit;
    addRoute("/safe/", "s", Fleet::RouteKind::Safe);
    addRoute("/once/", "s", Fleet::RouteKind::Unsafe);
    addRoute("/stream/", "s", Fleet::RouteKind::Streaming);
    addRoute("/resume/", "s", Fleet::RouteKind::Streaming).Resumable = true;
    addEndpoint("s");
    addEndpoint("s");
    start();
  }
  ScriptedEndpoint &first() { return Endpoints.front(); }
  ScriptedEndpoint &second() { return Endpoints.back(); }
  void script(const Script &script) { Scripts = {script}; }
  size_t arrivals() {
    return first().Requests.size() + second().Requests.size();
  }
};

#endif // TESTS_TWOENDPOINTFIXTURE_H
