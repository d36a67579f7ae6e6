#ifndef FRONTDOOR_HTTPSERVER_H
#define FRONTDOOR_HTTPSERVER_H

#include "frontdoor/callerstream.h"

#include <atomic>

namespace FrontDoor::Internal {

/// HTTP server whose parser sees connections through CallerStream. Requests
/// with a fault are answered with a refusal and the connection is closed.
class HttpServer : public httplib::Server {
public:
  /// Serves `threads` connections, and some more under short bounds, so that
  /// probes are answered while all others are busy.
  HttpServer(uint32_t threads, const StreamLimits &limits);

private:
  bool process_and_close_socket(socket_t socket) override;
  void serve(CallerStream &stream, bool crowded);
  /// Serves one request; false when the connection must close.
  bool serveRequest(CallerStream &stream, bool last);
  void refuse(CallerStream &stream, CallerStream::Fault fault);

  uint32_t Threads;
  StreamLimits Limits;
  std::atomic<uint32_t> Connections = 0;
};

/// Query that tells whether the caller of the request that this thread serves
/// has closed its connection. Valid until the request has been answered.
std::function<bool()> currentCallerLeft();

} // namespace FrontDoor::Internal

#endif // FRONTDOOR_HTTPSERVER_H
