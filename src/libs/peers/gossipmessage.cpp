#include "peers/gossipmessage.h"
#include "peers/peersconstants.h"

#include <algorithm>

namespace Peers {

uint32_t ageOf(const std::optional<Utils::TimePoint> &since,
               Utils::TimePoint now) {
  if (!since)
    return NoAge;
  auto age = std::chrono::ceil<Utils::Milliseconds>(now - *since).count();
  return static_cast<uint32_t>(
      std::clamp<Utils::Milliseconds::rep>(age, 0, NoAge - 1));
}

LogReading mergeReadings(const std::optional<LogReading> &old,
                         const LogReading &added) {
  if (!old)
    return added;
  return {std::max(old->At, added.At), std::max(old->End, added.End)};
}

} // namespace Peers

namespace Peers::Internal {

bool isWellFormed(const Update &update) {
  return !update.Name.empty() &&
         update.Name.size() <= Constants::MaxNameBytes &&
         update.Status <= MemberStatus::Left;
}

bool isWellFormed(const GossipMessage &message) {
  return message.Kind <= GossipKind::Farewell && isWellFormed(message.Self) &&
         std::all_of(message.Updates.begin(), message.Updates.end(),
                     [](const Update &it) { return isWellFormed(it); });
}

} // namespace Peers::Internal
