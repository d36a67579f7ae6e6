#include "daemon/callerauth.h"

#include "utils/digest.h"

namespace Daemon::Internal {

std::variant<std::string, FrontDoor::Refusal>
teamOf(const History::State &state, const FrontDoor::Request &request) {
  using FrontDoor::Reason;
  using FrontDoor::Refusal;
  using FrontDoor::RunState;
  if (request.BearerKey.empty())
    return Refusal{Reason::MissingKey, RunState::NotRun, 0,
                   "send a key as `Authorization: Bearer KEY`"};
  std::string hash = Utils::strongHash(request.BearerKey);
  auto it = state.Table.KeyTeams.find(hash);
  if (it == state.Table.KeyTeams.end() ||
      !Utils::equalInConstantTime(it->first, hash))
    return Refusal{Reason::UnknownKey, RunState::NotRun, 0,
                   "the key is not granted or was withdrawn"};
  return it->second;
}

} // namespace Daemon::Internal
