#ifndef HTTPIO_FETCH_H
#define HTTPIO_FETCH_H

#include "httpio/clientpool.h"
#include "utils/outcome.h"

#include <functional>

namespace HttpIo {

struct Response {
  Http::ResponseHead Head;
  std::string Body;
};

using FetchDone = std::function<void(Utils::Outcome<Response>)>;

/// Sends a request to IP:PORT and hands over the whole response. Fails with
/// Unavailable if nothing was sent, and with UnknownResult if the request may
/// have been carried out, also when `deadline` passes first.
void fetch(ClientPool &pool, asio::io_context &loop, const std::string &peer,
           const Http::Request &request, Utils::TimePoint deadline,
           FetchDone done);

} // namespace HttpIo

#endif // HTTPIO_FETCH_H
