#ifndef STANDINS_STANDIN_H
#define STANDINS_STANDIN_H

#include "utils/periodicthread.h"

#include <cstdint>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace Standins {

using Json = nlohmann::json;

/// HTTP server on a free loopback port with a thread of its own.
class LoopbackServer {
public:
  LoopbackServer() { Http.set_tcp_nodelay(true); }
  ~LoopbackServer() { stop(); }

  /// Binds a free port, or the one given, and starts to serve.
  uint16_t start(size_t threads, uint16_t port = 0) {
    socket_t listener = INVALID_SOCKET;
    Http.set_socket_options([&listener](socket_t it) { listener = it; });
    Http.new_task_queue = [threads] {
      return new httplib::ThreadPool(threads);
    };
    if (port == 0)
      Port = static_cast<uint16_t>(Http.bind_to_any_port("127.0.0.1"));
    else if (Http.bind_to_port("127.0.0.1", port))
      Port = port;
    // The library listens with a backlog of 5, which drops connections of a
    // burst for a second; listening again raises it.
    listen(listener, Backlog);
    Thread = std::thread([this] { Http.listen_after_bind(); });
    Utils::yieldUntil([this] { return Http.is_running(); });
    return Port;
  }
  void stop() {
    if (!Thread.joinable())
      return;
    Http.stop();
    Thread.join();
  }

  httplib::Server Http;
  uint16_t Port = 0;

private:
  static constexpr int Backlog = 1024;

  std::thread Thread;
};

inline void answerJson(httplib::Response &response, const Json &body,
                       int status = 200) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

/// Body of a control request as JSON; an empty object when malformed.
inline Json controlBody(const httplib::Request &request) {
  Json body = Json::parse(request.body, nullptr, false);
  return body.is_object() ? body : Json::object();
}

} // namespace Standins

#endif // STANDINS_STANDIN_H
