#ifndef HTTPIO_SERVERCONNECTION_H
#define HTTPIO_SERVERCONNECTION_H

#include "http/http.h"
#include "httpio/socketoptions.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace HttpIo {

class CallerConnection;
using CallerConnectionRef = std::shared_ptr<CallerConnection>;

/// What a listener's connections share.
struct ServerPolicy {
  Http::RequestLimits Limits;
  Utils::Milliseconds HeaderTimeout{3000};
  Utils::Milliseconds IdleTimeout{15000};
  /// Answers ask the caller to use another connection from now on.
  bool Leaving = false;
  /// Called for each complete request; an answer must follow.
  std::function<void(const CallerConnectionRef &, Http::Request)> OnRequest;
};

/// A caller's connection; answers one request at a time.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(Tcp::socket socket, std::shared_ptr<ServerPolicy> policy);

  void start();

  /// Sends a complete answer.
  void respond(const Http::ResponseHead &head, std::string_view body);
  /// Begins an answer in pieces, each sent as it comes.
  void beginStream(const Http::ResponseHead &head);
  void streamData(std::string_view data);
  void endStream();
  /// Ends the connection so that the answer is seen to be incomplete.
  void abort();

  /// Called once if the caller leaves before its answer is complete.
  std::function<void()> OnGone;

  /// Closes the connection if it timed out.
  void checkTimeouts(Utils::TimePoint now);
  /// Closes the connection unless it is answering a request.
  void closeIfIdle();
  bool isAnswering() const { return Answering; }
  bool isOpen() const { return Socket.is_open(); }

private:
  void read();
  void onRead(size_t n);
  void parse();
  void reject(unsigned status);
  void send(std::string_view text);
  void flush();
  void finishAnswer();
  void finishAndClose();
  void gone();
  void close();
  std::string headText(const Http::ResponseHead &head);

  Tcp::socket Socket;
  std::shared_ptr<ServerPolicy> Policy;
  Http::RequestParser Parser;
  std::array<char, 4096> Buffer;
  std::string Input;
  std::string Waiting;
  std::string Sending;
  /// When the connection is given up while it waits for a request.
  Utils::TimePoint WaitDeadline;
  bool Answering = false;
  bool Reading = false;
  bool RequestBegun = false;
  bool KeepOpen = true;
  bool Closing = false;
};

} // namespace HttpIo

#endif // HTTPIO_SERVERCONNECTION_H
