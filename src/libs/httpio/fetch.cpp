#include "httpio/fetch.h"

#include "httpio/httpioconstants.h"

namespace HttpIo {

namespace {

using Utils::Errc;

/// A fetch in progress. Its callbacks keep it alive.
class Fetch : public std::enable_shared_from_this<Fetch> {
public:
  Fetch(ClientPool &pool, asio::io_context &loop, std::string peer,
        FetchCallback done, ConnectionUse use, size_t maxBytes)
      : Pool(pool), DeadlineTimer(loop), Peer(std::move(peer)),
        Done(std::move(done)), Use(use), MaxBytes(maxBytes) {}

  void start(const Tcp::endpoint &address, const Http::Request &request,
             Utils::TimePoint deadline) {
    auto self = shared_from_this();
    Connection = Use == ConnectionUse::New
                     ? Pool.create()
                     : Pool.acquire(Peer, Utils::TimePoint::min());
    DeadlineTimer.expires_at(deadline);
    DeadlineTimer.async_wait([self](const std::error_code &ec) {
      if (!ec)
        self->onTimeout();
    });
    ResponseCallbacks callbacks;
    callbacks.OnHead = [self](const Http::ResponseHead &head, Http::Framing) {
      self->Result.Head = head;
      return HeadVerdict::Accept;
    };
    callbacks.OnBody = [self](std::string_view data) {
      self->appendBody(data);
    };
    callbacks.OnEnd = [self](ExchangeResult result) {
      self->onExchangeEnd(result);
    };
    Connection->exchange(address, Http::serializeRequest(request),
                         std::move(callbacks));
  }

private:
  void appendBody(std::string_view data) {
    Result.Body += data;
    if (Result.Body.size() <= MaxBytes)
      return;
    DeadlineTimer.cancel();
    Connection->cancel();
    complete(Utils::failure(Errc::ResourceExhausted,
                            Peer + ": response exceeds " +
                                std::to_string(MaxBytes) + " bytes"));
  }

  void onTimeout() {
    if (!Done)
      return;
    Connection->cancel();
    complete(Utils::failure(Errc::UnknownResult, Peer + ": no answer in time"));
  }

  void onExchangeEnd(ExchangeResult result) {
    DeadlineTimer.cancel();
    if (result == ExchangeResult::Complete) {
      if (Use == ConnectionUse::New)
        Connection->close();
      else
        Pool.release(Peer, Connection);
      return complete(std::move(Result));
    }
    Errc code = result == ExchangeResult::NotConnected ? Errc::Unavailable
                                                       : Errc::UnknownResult;
    complete(Utils::failure(code, Peer + ": exchange ended as " +
                                      std::string(exchangeResultName(result))));
  }

  void complete(Utils::Outcome<Response> outcome) {
    Connection.reset();
    if (auto done = std::exchange(Done, nullptr))
      done(std::move(outcome));
  }

  ClientPool &Pool;
  Timer DeadlineTimer;
  std::string Peer;
  FetchCallback Done;
  ConnectionUse Use;
  size_t MaxBytes;
  ClientConnectionRef Connection;
  Response Result;
};

} // namespace

void fetch(ClientPool &pool, asio::io_context &loop, const std::string &peer,
           const Http::Request &request, Utils::TimePoint deadline,
           FetchCallback done, ConnectionUse use, size_t maxBytes) {
  std::error_code ec;
  Tcp::endpoint address = parseEndpoint(peer, ec);
  if (ec)
    return done(Utils::failure(Errc::InvalidArgument,
                               "\"" + peer + "\" is not an IP:PORT address"));
  std::make_shared<Fetch>(pool, loop, peer, std::move(done), use, maxBytes)
      ->start(address, request, deadline);
}

} // namespace HttpIo
