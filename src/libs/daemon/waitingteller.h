#ifndef DAEMON_WAITINGTELLER_H
#define DAEMON_WAITINGTELLER_H

#include "daemon/context.h"

namespace Daemon::Internal {

/// Tells the holder of the placement duty which first requests wait here, and
/// takes what others tell. For one thread.
class WaitingTeller {
public:
  /// Registers the method by which others tell.
  explicit WaitingTeller(Context &context);

  /// Tells the holder if it is time to and something waits, or waited when it
  /// was last told.
  void tell();

private:
  Context &Shared;
  Utils::TimePoint ToldAt;
  bool ToldAny = false;
};

} // namespace Daemon::Internal

#endif // DAEMON_WAITINGTELLER_H
