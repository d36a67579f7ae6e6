#ifndef SUPPORT_LEAVINGENDPOINTCALLERS_H
#define SUPPORT_LEAVINGENDPOINTCALLERS_H

#include "support/cluster.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <thread>

namespace Support {

/// A completion sent while an endpoint leaves; its prompt is unique.
struct NotedCall {
  int Daemon = 0;
  std::string Prompt;
  std::chrono::steady_clock::time_point SentAt;
  /// Before the call was sent, the daemon's state showed the endpoint leaving.
  bool AfterNotice = false;
  int Status = 0;
};

/// A caller for each daemon, which asks the daemon whether it knows that the
/// endpoint leaves, sends a completion, and so on until told to end.
class LeavingEndpointCallers {
public:
  LeavingEndpointCallers(const Cluster &cluster,
                         const std::vector<int> &daemons, std::string key,
                         std::string model, std::string endpoint);
  ~LeavingEndpointCallers() { end(); }

  void end();
  /// Calls that were sent to the daemon after it knew.
  size_t callsAfterNotice(int daemon) const;
  std::vector<NotedCall> calls() const;

private:
  void run(int daemon);

  const Cluster &All;
  std::string Key;
  std::string Model;
  std::string Endpoint;
  /// In every prompt, so that no two runs send the same.
  std::string Tag;
  std::atomic<bool> Ended = false;
  mutable std::mutex Mutex;
  std::vector<NotedCall> Calls;
  std::vector<std::thread> Threads;
};

/// Whether the daemon's state shows the endpoint leaving.
bool knowsLeaving(const Cluster &cluster, int daemon,
                  const std::string &endpoint);

/// Lists the endpoint as leaving.
void listLeaving(const Cluster &cluster, const std::string &endpoint);

/// Prompts of all calls that the engine has seen.
std::set<std::string> promptsAt(const Cluster &cluster,
                                const std::string &engine);

} // namespace Support

#endif // SUPPORT_LEAVINGENDPOINTCALLERS_H
