#ifndef HTTPIO_CLIENTCONNECTION_H
#define HTTPIO_CLIENTCONNECTION_H

#include "http/http.h"
#include "httpio/socketoptions.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace HttpIo {

/// How a request/response exchange ended.
enum class ExchangeResult : uint8_t {
  Complete,
  NotConnected, ///< Nothing was sent.
  Broken,       ///< Connection lost; the request may have been processed.
  Malformed,    ///< Invalid response; the request may have been processed.
};

/// Name of the result for error messages.
std::string_view exchangeResultName(ExchangeResult value);

/// What to do with a response whose head has arrived.
enum class HeadVerdict : uint8_t {
  Accept,
  /// The response belongs to another request: discard it and wait for the next.
  Skip,
};

/// Callbacks of one exchange. None is called after OnEnd.
struct ResponseCallbacks {
  std::function<HeadVerdict(const Http::ResponseHead &, Http::Framing)> OnHead;
  std::function<void(std::string_view)> OnBody;
  std::function<void(ExchangeResult)> OnEnd;
};

/// The client side of a connection to an endpoint or to the platform. Performs
/// one exchange at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  explicit ClientConnection(asio::io_context &loop);

  /// Sends a request, connecting first if needed. No other exchange may be in
  /// progress.
  void exchange(const Tcp::endpoint &peer, std::string request,
                ResponseCallbacks callbacks);
  /// Closes the connection and ends the exchange without calling OnEnd.
  void cancel();
  void close();

  /// Whether the connection can be used for another exchange.
  bool isReusable() const;
  /// Until when an idle connection may be reused: the idle timeout from the
  /// peer's Keep-Alive field, or a default, less a safety margin.
  Utils::TimePoint idleUntil() const { return IdleUntil; }
  Utils::TimePoint lastUsed() const { return LastUsed; }
  /// Number of exchanges that were begun, including the one in progress.
  uint32_t exchanges() const { return Exchanges; }
  /// Called once when the connection is closed.
  std::function<void()> OnClosed;

private:
  /// Complete responses of the exchange that were discarded.
  struct Discarded {
    size_t Responses = 0;
    size_t Bytes = 0;
  };
  void connect(const Tcp::endpoint &peer);
  void write();
  void read();
  void onRead(size_t n);
  void onReadEnd(const std::error_code &ec);
  void feed();
  bool handleHead();
  /// Whether the responses that were discarded in this exchange exceed a limit.
  bool discardsTooMuch() const;
  /// Adds the current response to those that were discarded.
  void noteDiscarded();
  void endExchange(ExchangeResult result);
  bool inExchange() const { return Callbacks != nullptr; }

  Tcp::socket Socket;
  Timer ConnectTimer;
  std::array<char, 4096> Buffer;
  std::string Input;
  std::string Output;
  Http::ResponseParser Parser;
  /// Shared, so that a callback can end its own exchange safely.
  std::shared_ptr<ResponseCallbacks> Callbacks;
  Utils::TimePoint IdleUntil;
  Utils::TimePoint LastUsed;
  uint32_t Exchanges = 0;
  /// Parsed bytes of the current response.
  size_t ResponseBytes = 0;
  Discarded Interim;
  Discarded Skipped;
  bool Connected = false;
  bool Writing = false;
  /// The peer has reset the connection while the request was being sent.
  bool ResetInWrite = false;
  bool HeadHandled = false;
  bool Skipping = false;
  bool Reusable = false;
};

using ClientConnectionRef = std::shared_ptr<ClientConnection>;

} // namespace HttpIo

#endif // HTTPIO_CLIENTCONNECTION_H
