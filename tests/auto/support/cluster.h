#ifndef SUPPORT_CLUSTER_H
#define SUPPORT_CLUSTER_H

#include "faultproxy/faultproxy.h"
#include "support/child.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Support {

using Json = nlohmann::json;
using Headers = std::multimap<std::string, std::string>;

struct ClusterOptions {
  int Daemons = 3;
  int Engines = 2;
  int Services = 1;
  /// Extra flags of the stand-ins process, such as `--load_ms=1000`.
  std::vector<std::string> StandinFlags;
  /// Merged into the settings of every daemon (JSON merge patch).
  Json Settings = Json::object();
  /// Adjusts the settings of one daemon after the merge, for example to route
  /// it through extra proxy links; may be empty.
  std::function<void(FaultProxy::Proxy &, int daemon, Json &settings)>
      AdjustSettings;
  uint64_t Seed = 1;
};

/// An HTTP response; Status is 0 if the connection failed or broke off.
struct Reply {
  int Status = 0;
  /// The connection could not be established, so nothing was sent.
  bool Refused = false;
  std::string Body;
  std::map<std::string, std::string> Headers;
  /// Body as JSON; null if it is not valid JSON.
  Json json() const;
  /// String member of the body's `error` object, or an empty string.
  std::string error(const char *member) const;
};

/// Runs the stand-ins and the daemons as separate processes. The fault proxy
/// carries each daemon's connections to the log (link `log-dN`) and all
/// connections to each endpoint (links `engine-N` and `desk-N`).
class Cluster {
public:
  explicit Cluster(ClusterOptions options = {});
  ~Cluster();

  /// Runs `table import` on the CSV text; throws unless the exit code is 0.
  void importTable(const std::string &csv);
  /// Runs `table import` on the CSV text and returns its result.
  RunResult tryImportTable(const std::string &csv) const;
  /// Runs the hickoryspring binary with the settings of the first daemon.
  RunResult command(std::vector<std::string> args) const;
  /// Creates an API key with `key new` and returns it.
  std::string newKey();
  static std::string hashOf(const std::string &key);

  void startDaemon(int i);
  void startAll();
  /// Waits until /readyz of the daemon returns the status.
  bool waitReady(int i, int status = 200) const;

  /// Waits until the daemon's status lists every endpoint of the VM list.
  bool waitForEndpoints(int i) const;

  Reply send(int daemon, const std::string &method, const std::string &path,
             const std::string &body, const Headers &headers) const;
  Reply post(int daemon, const std::string &path, const std::string &body,
             const std::string &key, const Headers &extraHeaders = {}) const;
  /// Streams a completion, disconnects after `events` events and returns
  /// those received.
  std::vector<std::string> stream(int daemon, const std::string &body,
                                  const std::string &key, size_t events) const;
  Json status(int daemon) const;
  Json audit(int daemon) const;
  /// Sends POST /control to a stand-in: `log`, `vm_list`, `weight_store` or the
  /// name of a VM.
  Json control(const std::string &standin, const Json &body) const;
  /// Pauses or resumes token generation on all engines.
  void pauseTokens(bool paused) const;
  Json get(const std::string &standin, const std::string &path) const;
  uint16_t httpPort(int daemon) const;
  /// Host and port of the daemon's admin listener.
  std::string adminAddress(int daemon) const;

  int daemons() const { return Options.Daemons; }
  Child &daemon(int i) { return Daemons[static_cast<size_t>(i)]; }
  FaultProxy::Proxy &proxy() { return NetworkProxy; }
  std::string daemonLog(int i) const;
  /// File that receives the daemon's output.
  std::string daemonLogFile(int i) const {
    return pathOf("d" + std::to_string(i) + ".log");
  }
  const Json &vms() const { return Vms; }
  /// Seed of the fault proxy, to reproduce a failed run.
  uint64_t seed() const { return Options.Seed; }

private:
  void startStandins();
  void writeSettings(int i);
  std::string pathOf(const std::string &name) const {
    return Directory + "/" + name;
  }

  ClusterOptions Options;
  std::string Directory;
  FaultProxy::Proxy NetworkProxy;
  Child Standins;
  std::vector<Child> Daemons;
  Json Platform;
  Json Vms;
  std::map<std::string, uint16_t> Ports;
};

/// Whether wall-clock limits are enforced. `scripts/test timed`, which needs an
/// idle machine, sets HICKORY_TIMED=1; other runs only print the figures.
bool enforcesTimeLimits();

/// Polls the predicate until it holds; returns false after the timeout.
bool eventually(const std::function<bool()> &predicate,
                std::chrono::milliseconds timeout = std::chrono::seconds(20));

/// Configuration table with one team and its key, the models, and a desk
/// service whose calls are not idempotent.
std::string basicTable(const std::string &keyHash,
                       const std::vector<std::string> &models = {"menu-small"});

/// Configuration table with one team and its key and two models: menu-small
/// always has two replicas, menu-large at most one, loaded on demand.
std::string sharedModelTable(const std::string &keyHash);

std::string completionBody(const std::string &model, const std::string &prompt,
                           int maxTokens = 8, bool stream = false);

} // namespace Support

#endif // SUPPORT_CLUSTER_H
