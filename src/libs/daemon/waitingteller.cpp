#include "daemon/waitingteller.h"

#include "history/historyconstants.h"

namespace Daemon::Internal {

namespace {

constexpr char WaitingMethod[] = "placement.waiting";
constexpr Utils::Milliseconds TellPeriod(100);
constexpr Utils::Milliseconds TellTimeout(100);

std::string holderOf(const History::State &state) {
  auto it = state.Leases.find(History::Constants::PlacementDuty);
  return it == state.Leases.end() ? std::string() : it->second.Holder;
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
}

void WaitingTeller::tell() {
  Utils::TimePoint now = Shared.Clock.Now();
  bool any = !Shared.Waiting.empty();
  if (now < ToldAt + TellPeriod || (!any && !ToldAny))
    return;
  std::string holder = Shared.Store.read(holderOf);
  ToldAt = now;
  if (holder.empty() || holder == Shared.Settings.Name)
    return;
  auto told = Shared.Rpc.Call(holder, WaitingMethod, Shared.Waiting.message(),
                              now + TellTimeout);
  ToldAny = any || !told;
}

} // namespace Daemon::Internal
