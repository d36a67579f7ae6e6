#include "daemon/waitingteller.h"

#include "codec/codec.h"
#include "history/historyconstants.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace Daemon::Internal {

namespace {

constexpr char WaitingMethod[] = "placement.waiting";
constexpr char SuspectsMethod[] = "placement.suspects";
constexpr Utils::Milliseconds TellPeriod(100);
constexpr Utils::Milliseconds TellTimeout(100);

std::string holderOf(const History::State &state) {
  auto it = state.Leases.find(History::Constants::PlacementDuty);
  return it == state.Leases.end() ? std::string() : it->second.Holder;
}

Utils::Outcome<std::string> takeSuspects(Context &context,
                                         std::string_view message) {
  auto told = Codec::decode<std::vector<std::string>>(message);
  if (!told)
    return told.error();
  std::vector<std::string> names = std::move(told.value());
  context.Store.read([&](const History::State &state) {
    return std::erase_if(names, [&](const std::string &it) {
      return state.Endpoints.count(it) == 0;
    });
  });
  context.Suspects.note(names, context.Clock.Now());
  return std::string();
}

} // namespace

WaitingTeller::WaitingTeller(Context &context) : Shared(context) {
  context.Rpc.Handle(
      WaitingMethod,
      [&context](const std::string &daemon,
                 std::string_view message) -> Utils::Outcome<std::string> {
        Utils::Status taken = context.Waiting.take(daemon, message);
        if (!taken)
          return taken.error();
        return std::string();
      });
  context.Rpc.Handle(SuspectsMethod, [&context](const std::string & /*daemon*/,
                                                std::string_view message) {
    return takeSuspects(context, message);
  });
}

void WaitingTeller::tell() {
  Utils::TimePoint now = Shared.Clock.Now();
  if (now < ToldAt + TellPeriod)
    return;
  std::string holder = Shared.Store.read(holderOf);
  bool any = !Shared.Waiting.empty();
  bool anyFailed = !Shared.Outliers.failedSince(ToldFailuresAt).empty();
  if (!any && !ToldAny && !anyFailed)
    return;
  ToldAt = now;
  if (holder.empty() || holder == Shared.Settings.Name)
    return;
  if (anyFailed)
    tellFailures(holder, now);
  if (!any && !ToldAny)
    return;
  auto told = Shared.Rpc.Call(holder, WaitingMethod, Shared.Waiting.message(),
                              now + TellTimeout);
  noteTold(told);
  ToldAny = any || !told;
}

void WaitingTeller::noteTold(const Utils::Outcome<std::string> &answer) {
  if (answer)
    Holder.recordSuccess();
  else
    Holder.recordFailure(answer.error().What);
}

void WaitingTeller::tellFailures(const std::string &holder,
                                 Utils::TimePoint now) {
  std::vector<std::string> failed = Shared.Outliers.failedSince(ToldFailuresAt);
  auto told = Shared.Rpc.Call(holder, SuspectsMethod, Codec::encode(failed),
                              now + TellTimeout);
  noteTold(told);
  if (told)
    ToldFailuresAt = now;
}

} // namespace Daemon::Internal
