#include "httpio/fetch.h"

#include "httpio/httpioconstants.h"

namespace HttpIo {

namespace {

using Utils::Errc;

/// One fetch, kept alive by its callbacks.
class Fetch : public std::enable_shared_from_this<Fetch> {
public:
  Fetch(ClientPool &pool, asio::io_context &loop, std::string peer,
        FetchDone done)
      : Pool(pool), Deadline(loop), Peer(std::move(peer)),
        Done(std::move(done)) {}

  void start(const Tcp::endpoint &address, const Http::Request &request,
             Utils::TimePoint deadline) {
    auto self = shared_from_this();
    Connection = Pool.take(Peer, Utils::TimePoint::min());
    Deadline.expires_at(deadline);
    Deadline.async_wait([self](const std::error_code &ec) {
      if (!ec)
        self->timeOut();
    });
    ResponseEvents events;
    events.OnHead = [self](const Http::ResponseHead &head, Http::Framing) {
      self->Result.Head = head;
      return HeadVerdict::Accept;
    };
    events.OnBody = [self](std::string_view data) { self->take(data); };
    events.OnEnd = [self](ExchangeEnd end) { self->finish(end); };
    Connection->exchange(address, Http::serializeRequest(request),
                         std::move(events));
  }

private:
  void take(std::string_view data) {
    Result.Body += data;
    if (Result.Body.size() <= LargestFetchBytes)
      return;
    Deadline.cancel();
    Connection->cancel();
    report(Utils::failure(Errc::UnknownResult,
                          Peer + ": response of more than " +
                              std::to_string(LargestFetchBytes) + " bytes"));
  }

  void timeOut() {
    if (!Done)
      return;
    Connection->cancel();
    report(Utils::failure(Errc::UnknownResult, Peer + ": no answer in time"));
  }

  void finish(ExchangeEnd end) {
    Deadline.cancel();
    if (end == ExchangeEnd::Complete) {
      Pool.give(Peer, Connection);
      return report(std::move(Result));
    }
    Errc code = end == ExchangeEnd::NotConnected ? Errc::Unavailable
                                                 : Errc::UnknownResult;
    report(Utils::failure(code, Peer + ": exchange ended as " +
                                    std::string(exchangeEndName(end))));
  }

  void report(Utils::Outcome<Response> outcome) {
    Connection.reset();
    if (auto done = std::exchange(Done, nullptr))
      done(std::move(outcome));
  }

  ClientPool &Pool;
  Timer Deadline;
  std::string Peer;
  FetchDone Done;
  ClientConnectionRef Connection;
  Response Result;
};

} // namespace

void fetch(ClientPool &pool, asio::io_context &loop, const std::string &peer,
           const Http::Request &request, Utils::TimePoint deadline,
           FetchDone done) {
  std::error_code ec;
  Tcp::endpoint address = parseEndpoint(peer, ec);
  if (ec)
    return done(Utils::failure(Errc::InvalidArgument,
                               "\"" + peer + "\" is no address IP:PORT"));
  std::make_shared<Fetch>(pool, loop, peer, std::move(done))
      ->start(address, request, deadline);
}

} // namespace HttpIo
