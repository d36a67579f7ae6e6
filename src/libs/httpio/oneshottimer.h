#ifndef HTTPIO_ONESHOTTIMER_H
#define HTTPIO_ONESHOTTIMER_H

#include "httpio/socketoptions.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace HttpIo {

/// A timer that is a member of the object that its handler uses. The handler
/// never runs after cancel(), a further call of callAt() or callAfter(), or the
/// end of the timer. An Asio timer whose time has come runs its handler, with
/// success, even if it is cancelled or destroyed before the loop gets there.
class OneShotTimer {
public:
  using Handler = std::function<void()>;

  explicit OneShotTimer(asio::io_context &loop) : WakeUp(loop) {}
  ~OneShotTimer() { cancel(); }
  OneShotTimer(const OneShotTimer &) = delete;
  OneShotTimer &operator=(const OneShotTimer &) = delete;

  /// Runs the handler once at that time. Drops the handler set before.
  void callAt(Utils::TimePoint at, Handler handler);
  void callAfter(Utils::Milliseconds delay, Handler handler);
  /// Drops the handler.
  void cancel();
  /// Time that was set last, also if the handler has run or was dropped.
  Utils::TimePoint expiry() const { return WakeUp.expiry(); }

private:
  Timer WakeUp;
  /// Empty once the handler was taken to be run. Null: dropped.
  std::shared_ptr<Handler> Pending;
};

} // namespace HttpIo

#endif // HTTPIO_ONESHOTTIMER_H
