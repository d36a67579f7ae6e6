#include "daemon/keywatch.h"

namespace Daemon::Internal {

namespace {
/// A call that is watched from now on is looked at after this time at most.
constexpr Utils::Milliseconds LookPeriod(500);
} // namespace

KeyWatch::KeyWatch(const History::StateStore &store) : Store(store) {}

KeyWatch::~KeyWatch() { stop(); }

void KeyWatch::start() {
  Thread = std::thread([this] { run(); });
}

void KeyWatch::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

std::shared_ptr<void> KeyWatch::watch(const std::string &keyHash,
                                      std::shared_ptr<UpstreamCall> call) {
  std::lock_guard lock(Mutex);
  auto it = Calls.emplace(keyHash, std::move(call));
  return std::shared_ptr<void>(nullptr, [this, it](void *) {
    std::lock_guard guard(Mutex);
    Calls.erase(it);
  });
}

void KeyWatch::run() {
  while (!Stopping) {
    Utils::TimePoint look = std::chrono::steady_clock::now() + LookPeriod;
    bool found = Store.waitUntil(
        [this](const History::State &state) {
          return Stopping || anyWithdrawn(state);
        },
        look);
    if (found)
      cancelWithdrawn();
    // A closed store waits no more; the process is about to stop.
    else if (std::chrono::steady_clock::now() < look)
      return;
  }
}

bool KeyWatch::anyWithdrawn(const History::State &state) const {
  std::lock_guard lock(Mutex);
  for (const auto &[keyHash, call] : Calls)
    if (!state.Table.KeyTeams.count(keyHash) && !call->closed())
      return true;
  return false;
}

void KeyWatch::cancelWithdrawn() {
  Store.read([this](const History::State &state) {
    std::lock_guard lock(Mutex);
    for (const auto &[keyHash, call] : Calls)
      if (!state.Table.KeyTeams.count(keyHash))
        call->cancel(CancelReason::KeyWithdrawn);
    return true;
  });
}

} // namespace Daemon::Internal
