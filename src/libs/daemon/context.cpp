#include "daemon/context.h"

namespace Daemon::Internal {

void appendRecord(Context &context, const History::Record &record,
                  Utils::Milliseconds timeout) {
  auto verdict =
      context.Appender->submitAndWait(record, context.Clock.Now() + timeout);
  if (verdict && verdict->Accepted)
    return;
  Utils::Event("record_not_accepted")
      .with("record", History::recordName(record))
      .with("why", verdict ? verdict->Reason : verdict.error().What)
      .warning();
}

} // namespace Daemon::Internal
