#include "httpio/connectcheck.h"

#include "httpio/httpioconstants.h"

#include <asio/error.hpp>
#include <memory>
#include <utility>

namespace HttpIo {

namespace {

/// State of one check, kept alive by its callbacks.
struct Check {
  explicit Check(asio::io_context &loop) : Socket(loop), Timeout(loop) {}

  void finish(ConnectResult result) {
    Timeout.cancel();
    std::error_code ec; // Ignored: the socket may be closed already.
    Socket.close(ec);
    if (auto done = std::exchange(Done, nullptr))
      done(result);
  }

  Tcp::socket Socket;
  Timer Timeout;
  std::function<void(ConnectResult)> Done;
};

ConnectResult resultOf(const std::error_code &ec) {
  if (!ec)
    return ConnectResult::Accepted;
  return ec == asio::error::connection_refused ? ConnectResult::Refused
                                               : ConnectResult::NoAnswer;
}

} // namespace

void checkConnect(asio::io_context &loop, const Tcp::endpoint &peer,
                  std::function<void(ConnectResult)> done) {
  auto check = std::make_shared<Check>(loop);
  check->Done = std::move(done);
  check->Timeout.expires_after(ConnectTimeout);
  check->Timeout.async_wait([check](const std::error_code &ec) {
    if (!ec)
      check->finish(ConnectResult::NoAnswer);
  });
  check->Socket.async_connect(peer, [check](const std::error_code &ec) {
    check->finish(resultOf(ec));
  });
}

} // namespace HttpIo
