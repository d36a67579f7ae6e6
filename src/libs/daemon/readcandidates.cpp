#include "daemon/readcandidates.h"

#include <algorithm>

namespace Daemon::Internal {

namespace {

constexpr size_t MaxCandidates = 3;

using Members = std::vector<Peers::MemberView>;

bool reachesLog(const Peers::MemberView &it) { return !it.LogLostSince; }

/// The member that tells most without the log; nothing from an empty list.
std::vector<std::string> withoutLog(const Members &members, uint64_t held) {
  auto most = std::max_element(
      members.begin(), members.end(),
      [](const auto &l, const auto &r) { return l.Applied < r.Applied; });
  if (most == members.end())
    return {};
  return {most->Applied > held ? most->Name : members.front().Name};
}

} // namespace

std::vector<std::string> readCandidates(Members members, uint64_t held,
                                        std::mt19937_64 &random) {
  std::erase_if(members, [](const auto &it) {
    return it.Status != Peers::MemberStatus::Alive;
  });
  std::shuffle(members.begin(), members.end(), random);
  std::vector<std::string> names;
  for (const Peers::MemberView &it : members)
    if (reachesLog(it) && names.size() < MaxCandidates)
      names.push_back(it.Name);
  return names.empty() ? withoutLog(members, held) : names;
}

} // namespace Daemon::Internal
