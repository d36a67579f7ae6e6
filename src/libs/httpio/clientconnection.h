#ifndef HTTPIO_CLIENTCONNECTION_H
#define HTTPIO_CLIENTCONNECTION_H

#include "http/http.h"
#include "httpio/socketoptions.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace HttpIo {

/// How an exchange ended.
enum class ExchangeEnd : uint8_t {
  Complete,
  NotConnected, ///< Nothing was sent.
  Broken,       ///< The connection ended early; the request may have run.
  Malformed,    ///< What came is no response; the request may have run.
};

std::string_view exchangeEndName(ExchangeEnd end);

/// What to do with a response whose head has arrived.
enum class HeadVerdict : uint8_t {
  Accept,
  /// It answers another request; the one that counts may follow.
  Skip,
};

/// Callbacks of one exchange. After OnEnd none is called.
struct ResponseEvents {
  std::function<HeadVerdict(const Http::ResponseHead &, Http::Framing)> OnHead;
  std::function<void(std::string_view)> OnBody;
  std::function<void(ExchangeEnd)> OnEnd;
};

/// A connection to an endpoint or to the platform, for one exchange at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  explicit ClientConnection(asio::io_context &loop);

  /// Connects first if needed. The connection must not be in an exchange.
  void exchange(const Tcp::endpoint &peer, std::string request,
                ResponseEvents events);
  /// Ends the exchange without calling back, and the connection.
  void cancel();
  void close();

  /// Whether the last exchange left the connection fit for another.
  bool isReusable() const;
  /// Until when the peer keeps the connection, by its Keep-Alive field.
  Utils::TimePoint idleUntil() const { return IdleUntil; }
  Utils::TimePoint lastUsed() const { return LastUsed; }
  /// Called when an idle connection ends.
  std::function<void()> OnIdleEnd;

private:
  void connect(const Tcp::endpoint &peer);
  void write();
  void read();
  void onRead(size_t n);
  void onReadEnd(const std::error_code &ec);
  void feed();
  bool takeHead();
  void end(ExchangeEnd result);
  bool busy() const { return Events != nullptr; }

  Tcp::socket Socket;
  Timer ConnectTimer;
  std::array<char, 4096> Buffer;
  std::string Input;
  std::string Output;
  Http::ResponseParser Parser;
  /// Shared so that a callback may end the exchange that it belongs to.
  std::shared_ptr<ResponseEvents> Events;
  Utils::TimePoint IdleUntil;
  Utils::TimePoint LastUsed;
  bool Connected = false;
  bool Writing = false;
  bool HeadTaken = false;
  bool Skipping = false;
  bool Reusable = false;
};

using ClientConnectionRef = std::shared_ptr<ClientConnection>;

} // namespace HttpIo

#endif // HTTPIO_CLIENTCONNECTION_H
