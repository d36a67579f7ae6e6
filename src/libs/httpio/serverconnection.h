#ifndef HTTPIO_SERVERCONNECTION_H
#define HTTPIO_SERVERCONNECTION_H

#include "http/http.h"
#include "httpio/socketoptions.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace HttpIo {

class ServerConnection;
using ServerConnectionRef = std::shared_ptr<ServerConnection>;

/// Settings and request handler shared by all connections of a listener.
struct ServerPolicy {
  Http::RequestLimits Limits;
  Utils::Milliseconds HeaderTimeout{3000};
  Utils::Milliseconds IdleTimeout{15000};
  /// Responses carry `Connection: close`, so that clients reconnect elsewhere.
  bool Draining = false;
  /// Called for each complete request; it must lead to a response or abort().
  std::function<void(const ServerConnectionRef &, Http::Request)> OnRequest;
};

/// An accepted connection; processes one request at a time.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(Tcp::socket socket, std::shared_ptr<ServerPolicy> policy);

  void start();

  /// Sends a complete response.
  void respond(const Http::ResponseHead &head, std::string_view body);
  /// Starts a chunked response. Each streamData() sends a chunk at once.
  void beginStream(const Http::ResponseHead &head);
  void streamData(std::string_view data);
  void endStream();
  /// Closes the connection, so that the client sees a truncated response.
  void abort();

  /// Called once if the connection is lost before the response is complete.
  std::function<void()> OnDisconnect;

  /// Closes the connection if it timed out.
  void checkTimeouts(Utils::TimePoint now);
  /// Closes the connection unless it is receiving a request or sending a
  /// response.
  void closeIfIdle();
  bool isResponding() const { return Responding; }
  bool isOpen() const { return Socket.is_open(); }

private:
  void read();
  void onRead(size_t n);
  void parse();
  void reject(unsigned status);
  void send(std::string_view text);
  void flush();
  void finishResponse();
  void shutdownSend();
  void handleDisconnect();
  void close();
  std::string serializeHead(const Http::ResponseHead &head);

  Tcp::socket Socket;
  std::shared_ptr<ServerPolicy> Policy;
  Http::RequestParser Parser;
  std::array<char, 4096> Buffer;
  std::string Input;
  std::string QueuedOutput;
  std::string SendingOutput;
  /// When the connection times out while it is idle, receives or lingers.
  Utils::TimePoint WaitDeadline;
  bool Responding = false;
  bool Reading = false;
  bool RequestStarted = false;
  bool KeepOpen = true;
  bool Closing = false;
};

} // namespace HttpIo

#endif // HTTPIO_SERVERCONNECTION_H
