#include "httpio/oneshottimer.h"

#include <utility>

namespace HttpIo {

void OneShotTimer::callAt(Utils::TimePoint at, Handler handler) {
  Pending = std::make_shared<Handler>(std::move(handler));
  WakeUp.expires_at(at);
  WakeUp.async_wait(
      [pending = std::weak_ptr(Pending)](const std::error_code &ec) {
        auto it = pending.lock();
        if (ec || !it)
          return;
        // The handler may destroy this timer or set it again.
        Handler run = std::exchange(*it, nullptr);
        it.reset();
        run();
      });
}

void OneShotTimer::callAfter(Utils::Milliseconds delay, Handler handler) {
  callAt(Utils::BootClock::now() + delay, std::move(handler));
}

void OneShotTimer::cancel() {
  Pending.reset();
  WakeUp.cancel();
}

} // namespace HttpIo
