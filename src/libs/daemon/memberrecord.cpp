#include "daemon/memberrecord.h"

namespace Daemon::Internal {

namespace {
constexpr std::chrono::hours JoinTimeout(1);
}

void recordJoined(Context &context) {
  History::MemberChange change;
  change.ChangeId = context.JoinId = Utils::randomId();
  change.Action = History::MemberAction::Join;
  change.Daemon = context.Settings.Name;
  Peers::Address where = context.Node->where();
  change.Address = where.Host;
  change.PeerPort = where.Port;
  change.FailureDomain = context.Settings.FailureDomain;
  if (!context.Appender->submit(change, context.Clock.Now() + JoinTimeout))
    Utils::Event("join_not_recorded").error();
}

} // namespace Daemon::Internal
