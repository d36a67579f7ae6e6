#include "daemon/logreaders.h"
#include "utils/digest.h"

#include <algorithm>

namespace Daemon::Internal {

namespace {

constexpr size_t FewestReaders = 2;
constexpr size_t DaemonsPerReader = 10;

struct Ranked {
  uint64_t Weight = 0;
  const std::string *Name = nullptr;
  bool ReachesLog = true;

  bool operator<(const Ranked &other) const {
    return Weight != other.Weight ? Weight > other.Weight : *Name < *other.Name;
  }
};

} // namespace

size_t logReadersIn(size_t daemons) {
  size_t share = (daemons + DaemonsPerReader - 1) / DaemonsPerReader;
  return std::min(daemons, std::max(FewestReaders, share));
}

std::optional<std::string>
feederOf(const std::string &self, const std::string &failureDomain,
         const std::vector<Peers::MemberView> &others) {
  uint64_t seed = Utils::fastHash(failureDomain);
  std::vector<Ranked> domain = {{Utils::fastHash(self, seed), &self}};
  for (const Peers::MemberView &it : others)
    if (it.Status == Peers::MemberStatus::Alive &&
        it.FailureDomain == failureDomain)
      domain.push_back({Utils::fastHash(it.Name, seed), &it.Name,
                        !it.LogLostSince.has_value()});
  auto end =
      domain.begin() + static_cast<std::ptrdiff_t>(logReadersIn(domain.size()));
  std::partial_sort(domain.begin(), end, domain.end());
  // Each daemon has an order of its own, so that the readers share the others.
  uint64_t own = Utils::fastHash(self, ~seed);
  const Ranked *best = nullptr;
  uint64_t bestWeight = 0;
  for (auto it = domain.begin(); it != end; ++it) {
    if (it->Name == &self)
      return std::nullopt;
    uint64_t weight = Utils::fastHash(*it->Name, own);
    if (it->ReachesLog && (!best || weight > bestWeight)) {
      best = &*it;
      bestWeight = weight;
    }
  }
  return best ? std::optional(*best->Name) : std::nullopt;
}

} // namespace Daemon::Internal
