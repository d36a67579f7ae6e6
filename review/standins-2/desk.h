#ifndef REVIEW_STANDINS2_DESK_H
#define REVIEW_STANDINS2_DESK_H

#include "lab.h"

namespace Lab {

/// An endpoint of the service "desk". It works for a while on each request and
/// answers it with 200.
class Desk : public Endpoint {
public:
  Desk(asio::io_context &loop, Store &store, const std::string &id)
      : Endpoint(loop, store, "desk", id) {
    Slots = 6;
  }

  milliseconds WorkTime{15};
  /// Called when a request begins to run; the endpoint does not answer it if
  /// the result is false.
  std::function<bool(Desk &, const Message &)> OnRun;
  /// Body of the answer to a request.
  std::function<std::string(const Message &)> BodyFor;

protected:
  Task<bool> serve(const std::shared_ptr<Wire> &wire,
                   const Message &request) override {
    uint64_t incarnation = Incarnation;
    bool answers = !OnRun || OnRun(*this, request);
    if (!answers)
      co_return false;
    co_await pause(WorkTime);
    if (incarnation != Incarnation)
      co_return false;
    std::string body =
        BodyFor ? BodyFor(request) : std::string("served by " + Id);
    bool open = co_await wire->write(
        response(200, body,
                 "Request-Id: " + request.header("Request-Id") +
                     "\r\nResponse-Seal: seal-of-" + Id +
                     "\r\nContent-Type: text/plain\r\n"));
    co_return open;
  }
};

} // namespace Lab

#endif // REVIEW_STANDINS2_DESK_H
