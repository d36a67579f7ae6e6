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
  /// Further flags of the stand-ins, such as `--load_ms=1000`.
  std::vector<std::string> StandinFlags;
  /// Merged into every daemon's settings.
  Json Settings = Json::object();
  /// Changes one daemon's settings further, such as to lead it through links
  /// added to the proxy; may be empty.
  std::function<void(FaultProxy::Proxy &, int daemon, Json &settings)> Adapt;
  uint64_t Seed = 1;
};

/// A whole HTTP answer; Status 0 when the connection broke.
struct Reply {
  int Status = 0;
  /// The connection was not taken, so that nothing was sent.
  bool Refused = false;
  std::string Body;
  std::map<std::string, std::string> Headers;
  /// Body as JSON; null when it is none.
  Json json() const;
  /// Member of the refusal in the body, or an empty text.
  std::string error(const char *member) const;
};

/// Stand-ins and daemons as processes of their own, each daemon's way to the
/// log (`log-dN`) and each endpoint's (`engine-N`, `desk-N`) through the proxy.
class Cluster {
public:
  explicit Cluster(ClusterOptions options = {});
  ~Cluster();

  /// Imports the sheet with the table command; the exit code must be 0.
  void importTable(const std::string &csv);
  /// Imports the sheet and returns what the table command did.
  RunResult importSheet(const std::string &csv) const;
  /// Runs the binary with `--settings` of the first daemon.
  RunResult command(std::vector<std::string> words) const;
  /// Makes a key, its hash, and remembers both; returns the key.
  std::string newKey();
  static std::string hashOf(const std::string &key);

  void startDaemon(int i);
  void startAll();
  /// Waits until the daemon answers on /readyz with the status.
  bool waitReady(int i, int status = 200) const;

  /// Waits until the daemon knows every endpoint on the VM list.
  bool waitEndpoints(int i) const;

  Reply send(int daemon, const std::string &method, const std::string &path,
             const std::string &body, const Headers &headers) const;
  Reply post(int daemon, const std::string &path, const std::string &body,
             const std::string &key, const Headers &more = {}) const;
  /// Streams a completion and leaves after so many events; returns them.
  std::vector<std::string> stream(int daemon, const std::string &body,
                                  const std::string &key, size_t events) const;
  Json status(int daemon) const;
  Json audit(int daemon) const;
  /// POST /control of a stand-in: `log`, `vm_list`, `weight_store` or a VM.
  Json control(const std::string &standin, const Json &body) const;
  /// Whether the engines generate no token until told otherwise.
  void holdTokens(bool held) const;
  Json get(const std::string &standin, const std::string &path) const;
  uint16_t httpPort(int daemon) const;
  /// Address of the daemon's admin port.
  std::string adminAddress(int daemon) const;

  int daemons() const { return Options.Daemons; }
  Child &daemon(int i) { return Daemons[static_cast<size_t>(i)]; }
  FaultProxy::Proxy &proxy() { return Faults; }
  std::string daemonLog(int i) const;
  /// File that the daemon's output goes to.
  std::string daemonLogFile(int i) const {
    return file("d" + std::to_string(i) + ".log");
  }
  const Json &vms() const { return Vms; }
  /// Seed printed when a test fails.
  uint64_t seed() const { return Options.Seed; }

private:
  void startStandins();
  void writeSettings(int i);
  std::string file(const std::string &name) const {
    return Folder + "/" + name;
  }

  ClusterOptions Options;
  std::string Folder;
  FaultProxy::Proxy Faults;
  Child Standins;
  std::vector<Child> Daemons;
  Json Platform;
  Json Vms;
  std::map<std::string, uint16_t> Ports;
};

/// Whether checks against the wall clock count. They do in `scripts/test
/// timed`, which wants an idle machine; elsewhere their figures are printed
/// only.
bool isTimed();

/// Asks again until the predicate holds; false after the (generous) limit.
bool eventually(const std::function<bool()> &predicate,
                std::chrono::milliseconds limit = std::chrono::seconds(20));

/// A table with one team, models, and a desk service that may not be repeated.
std::string basicTable(const std::string &keyHash,
                       const std::vector<std::string> &models = {"menu-small"});

/// Table of one team and two models: menu-small held by two engines at all
/// times, menu-large by one when it is called.
std::string sharedModelTable(const std::string &keyHash);

std::string completionBody(const std::string &model, const std::string &prompt,
                           int maxTokens = 8, bool stream = false);

} // namespace Support

#endif // SUPPORT_CLUSTER_H
