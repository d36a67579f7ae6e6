#ifndef DAEMON_VMLISTWATCH_H
#define DAEMON_VMLISTWATCH_H

#include "environment/environment.h"
#include "history/history.h"
#include "utils/utils.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Daemon::Internal {

/// Changes that bring the endpoints of the state in line with the VM list.
std::vector<History::EndpointChange>
vmListChanges(const History::State &state,
              const std::vector<Environment::Vm> &vms, History::Position fence);

/// Names of daemons that were on earlier lists and are not on this one; notes
/// those that are in `listed`.
std::vector<std::string>
daemonsThatLeft(const std::vector<Environment::Vm> &vms,
                std::set<std::string> &listed);

/// Thread that reads the VM list while it is wanted. Thread-safe.
class VmListWatch {
public:
  explicit VmListWatch(Environment::VmList list) : List(std::move(list)) {}
  ~VmListWatch() { stop(); }

  void start();
  void stop();
  void setWanted(bool wanted) { Wanted = wanted; }
  /// The newest list that was not taken yet.
  std::optional<std::vector<Environment::Vm>> take();

private:
  void run();

  Environment::VmList List;
  Utils::DependencyMonitor Source{"VM list", {}};
  std::atomic<bool> Wanted = false;
  std::mutex Mutex;
  std::condition_variable Wake;
  std::optional<std::vector<Environment::Vm>> Newest;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace Daemon::Internal

#endif // DAEMON_VMLISTWATCH_H
