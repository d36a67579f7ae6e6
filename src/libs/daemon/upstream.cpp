#include "daemon/upstream.h"

namespace Daemon::Internal {

UpstreamCall::UpstreamCall(Engine::Endpoint endpoint, Engine::Call call)
    : Endpoint(std::move(endpoint)), Call(std::move(call)), Ring(RingCapacity) {
}

std::optional<Piece> UpstreamCall::nextUntil(Utils::TimePoint time) {
  return Ring.popUntil(std::min(time, Call.Deadline));
}

bool UpstreamCall::cancel(CancelReason why) {
  CancelReason none = CancelReason::None;
  CancelledFor.compare_exchange_strong(none, why);
  Phase expected = Phase::Queued;
  bool unsent = Current.compare_exchange_strong(expected, Phase::Cancelled) ||
                expected == Phase::Cancelled;
  Ring.close();
  return unsent;
}

void UpstreamCall::run() {
  Utils::Status status = send();
  Piece end;
  end.What = Piece::Kind::End;
  if (!status)
    end.Why = status.error();
  Ring.pushUntil(std::move(end), Call.Deadline);
  Ring.close();
}

Utils::Status UpstreamCall::send() {
  Phase expected = Phase::Queued;
  if (!Current.compare_exchange_strong(expected, Phase::Started))
    return Utils::failure(Utils::Errc::Unavailable, "cancelled before sending");
  if (std::chrono::steady_clock::now() >= Call.Deadline)
    return Utils::failure(Utils::Errc::Unavailable,
                          "the deadline passed before sending");
  Call.Cancelled = [this] { return closed(); };
  Engine::ResponseSink sink;
  sink.OnHead = [this](const Engine::ResponseHead &head) {
    Piece piece;
    piece.What = Piece::Kind::Head;
    piece.Head = head;
    return Ring.pushUntil(std::move(piece), Call.Deadline);
  };
  sink.OnBody = [this](std::string_view bytes) {
    Piece piece;
    piece.Bytes = bytes;
    return Ring.pushUntil(std::move(piece), Call.Deadline);
  };
  return Endpoint.Send(Call, sink);
}

UpstreamPool::UpstreamPool(size_t threads) : Ring(threads) {
  Threads.reserve(threads);
  for (size_t i = 0; i < threads; ++i)
    Threads.emplace_back([this] { run(); });
}

UpstreamPool::~UpstreamPool() { stop(); }

std::shared_ptr<UpstreamCall> UpstreamPool::start(Engine::Endpoint endpoint,
                                                  Engine::Call call) {
  auto started =
      std::make_shared<UpstreamCall>(std::move(endpoint), std::move(call));
  return Ring.tryPush(std::shared_ptr(started)) ? started : nullptr;
}

void UpstreamPool::stop() {
  Ring.close();
  for (std::thread &it : Threads)
    if (it.joinable())
      it.join();
}

void UpstreamPool::run() {
  while (auto call = Ring.pop())
    (*call)->run();
}

} // namespace Daemon::Internal
