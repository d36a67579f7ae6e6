#include "daemon/logfollowers.h"

#include <algorithm>

namespace Daemon::Internal {

void LogFollowers::open(bool isOpen) {
  std::lock_guard lock(Mutex);
  Open = isOpen;
}

bool LogFollowers::add(uint64_t from, const Peers::Answer &answer) {
  std::lock_guard lock(Mutex);
  if (!Open || All.size() >= MaxWaiting)
    return false;
  All.push_back({from, answer});
  return true;
}

std::vector<LogFollowers::Waiting> LogFollowers::take(uint64_t below) {
  std::lock_guard lock(Mutex);
  auto rest = std::partition(All.begin(), All.end(),
                             [&](const auto &it) { return it.From >= below; });
  std::vector<Waiting> taken(std::make_move_iterator(rest),
                             std::make_move_iterator(All.end()));
  All.erase(rest, All.end());
  return taken;
}

} // namespace Daemon::Internal
