#ifndef HTTPIO_CONNECTCHECK_H
#define HTTPIO_CONNECTCHECK_H

#include "httpio/socketoptions.h"

#include <cstdint>
#include <functional>

namespace HttpIo {

/// Result of an attempt to connect to a peer.
enum class ConnectResult : uint8_t {
  Accepted,
  Refused,  ///< No process listens at the address.
  NoAnswer, ///< Nothing came back in time, or the network failed.
};

/// Connects to the peer, closes the connection at once, and passes the result
/// to `done`, at most ConnectTimeout later.
void checkConnect(asio::io_context &loop, const Tcp::endpoint &peer,
                  std::function<void(ConnectResult)> done);

} // namespace HttpIo

#endif // HTTPIO_CONNECTCHECK_H
