#ifndef DAEMON_WAITINGTELLER_H
#define DAEMON_WAITINGTELLER_H

#include "daemon/context.h"

namespace Daemon::Internal {

/// Tells the holder of the placement duty which first requests wait here and at
/// which endpoints calls fail, and takes what others tell. For one thread.
class WaitingTeller {
public:
  /// Registers the method by which others tell.
  explicit WaitingTeller(Context &context);

  /// Tells the holder if it is time to and something waits, waited when it was
  /// last told, or failed since.
  void tell();

private:
  void tellFailures(const std::string &holder, Utils::TimePoint now);

  void noteTold(const Utils::Outcome<std::string> &answer);

  Context &Shared;
  Utils::DependencyMonitor Holder{"placement holder", {}};
  Utils::TimePoint ToldAt;
  Utils::TimePoint ToldFailuresAt;
  bool ToldAny = false;
};

} // namespace Daemon::Internal

#endif // DAEMON_WAITINGTELLER_H
