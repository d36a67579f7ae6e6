#ifndef HTTPIO_FETCH_H
#define HTTPIO_FETCH_H

#include "httpio/clientpool.h"
#include "httpio/httpioconstants.h"
#include "utils/outcome.h"

#include <cstdint>
#include <functional>

namespace HttpIo {

struct Response {
  Http::ResponseHead Head;
  std::string Body;
};

enum class ConnectionUse : uint8_t {
  Pooled, ///< An idle connection to the peer, if there is one.
  /// A new connection for this request alone, on which no late copy of the
  /// response to another request can arrive.
  New,
};

using FetchCallback = std::function<void(Utils::Outcome<Response>)>;

/// Sends a request to `peer`, an IP:PORT address, and passes the complete
/// response to `done`. Fails with InvalidArgument if the address is invalid,
/// with Unavailable if nothing was sent, and with UnknownResult if the request
/// may have been processed, also when `deadline` passes first. Fails with
/// ResourceExhausted if the body of the response exceeds `maxBytes`; the
/// request may have been processed then too.
void fetch(ClientPool &pool, asio::io_context &loop, const std::string &peer,
           const Http::Request &request, Utils::TimePoint deadline,
           FetchCallback done, ConnectionUse use = ConnectionUse::Pooled,
           size_t maxBytes = MaxFetchBytes);

} // namespace HttpIo

#endif // HTTPIO_FETCH_H
