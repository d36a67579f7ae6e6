#ifndef SUPPORT_LEAVINGENDPOINTCALLERS_H
#define SUPPORT_LEAVINGENDPOINTCALLERS_H

#include "support/cluster.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <thread>

namespace Support {

/// A completion sent by LeavingEndpointCallers; its prompt is unique.
struct RecordedCall {
  int Daemon = 0;
  std::string Prompt;
  std::chrono::steady_clock::time_point SentAt;
  /// Whether the daemon's status reported the endpoint as leaving before the
  /// call was sent.
  bool AfterNotice = false;
  int Status = 0;
};

/// Sends completions to each daemon from a thread of its own until stopped, and
/// records before each one whether the daemon reports the endpoint as leaving.
class LeavingEndpointCallers {
public:
  LeavingEndpointCallers(const Cluster &cluster,
                         const std::vector<int> &daemons, std::string key,
                         std::string model, std::string endpoint);
  ~LeavingEndpointCallers() { stop(); }

  void stop();
  /// Calls sent to the daemon after it reported the endpoint as leaving.
  size_t callsAfterNotice(int daemon) const;
  std::vector<RecordedCall> calls() const;

private:
  void run(int daemon);

  const Cluster &TestCluster;
  std::string Key;
  std::string Model;
  std::string Endpoint;
  /// Part of every prompt, so that the prompts of two runs never match.
  std::string RunId;
  std::atomic<bool> Stopped = false;
  mutable std::mutex Mutex;
  std::vector<RecordedCall> Calls;
  std::vector<std::thread> Threads;
};

/// Whether the daemon's status reports the endpoint as leaving.
bool reportsLeaving(const Cluster &cluster, int daemon,
                    const std::string &endpoint);

/// Publishes a VM list in which only this endpoint is leaving; an empty name
/// marks none.
void markLeaving(const Cluster &cluster, const std::string &endpoint);

/// Prompts of all calls that the engine has received.
std::set<std::string> receivedPrompts(const Cluster &cluster,
                                      const std::string &engine);

} // namespace Support

#endif // SUPPORT_LEAVINGENDPOINTCALLERS_H
