#include "experiments/measuredcluster.h"

#include <algorithm>
#include <stdexcept>

namespace Experiments {

using Support::Json;

namespace {

constexpr std::chrono::seconds AcquaintedLimit(60);

std::string loopback(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

uint16_t portOf(const std::string &address) {
  return static_cast<uint16_t>(
      std::stoi(address.substr(address.find(':') + 1)));
}

void leadPeers(FaultProxy::Proxy &proxy, int daemon, Json &settings) {
  auto port = settings["daemon"]["peer_port"].get<uint16_t>();
  uint16_t shown = proxy.addPairedLinks(linkName("peer", daemon),
                                        linkName("gossip", daemon), port);
  settings["peers"]["advertise"] = loopback(shown);
  settings["peers"]["seeds"] = Json::array();
}

void leadVmList(FaultProxy::Proxy &proxy, int daemon, Json &settings) {
  auto target = portOf(settings["platform"]["vm_list"].get<std::string>());
  settings["platform"]["vm_list"] = loopback(proxy.addLink(
      linkName("vms", daemon), FaultProxy::Transport::Tcp, target));
}

bool seesAllAlive(const Support::Cluster &cluster, int daemon, int others) {
  Json status = cluster.status(daemon);
  if (!status.contains("members"))
    return false;
  const Json &members = status["members"];
  auto alive =
      std::count_if(members.begin(), members.end(),
                    [](const Json &it) { return it["status"] == "alive"; });
  return alive == others;
}

} // namespace

std::string linkName(const char *kind, int daemon) {
  return std::string(kind) + "-d" + std::to_string(daemon);
}

Support::ClusterOptions measuredOptions(int daemons, int engines,
                                        const ProxiedWays &ways,
                                        uint64_t seed) {
  Support::ClusterOptions options;
  options.Daemons = daemons;
  options.Engines = engines;
  options.Seed = seed;
  options.AdjustSettings = [ways](FaultProxy::Proxy &proxy, int daemon,
                                  Json &settings) {
    if (ways.Peers)
      leadPeers(proxy, daemon, settings);
    if (ways.VmList)
      leadVmList(proxy, daemon, settings);
  };
  return options;
}

void setBothWays(Support::Cluster &cluster, const std::string &link,
                 const FaultProxy::Faults &faults) {
  cluster.proxy().setFaults(link, FaultProxy::Direction::ToTarget, faults);
  cluster.proxy().setFaults(link, FaultProxy::Direction::ToClient, faults);
}

void startAcquainted(Support::Cluster &cluster, int first, int daemons) {
  int end = first + daemons;
  for (int i = first; i < end; ++i)
    cluster.startDaemon(i);
  for (int i = first; i < end; ++i)
    if (!cluster.waitReady(i))
      throw std::runtime_error("daemon not ready: " + cluster.daemonLog(i));
  for (int i = first; i < end; ++i)
    if (!Support::eventually(
            [&] { return seesAllAlive(cluster, i, daemons - 1); },
            AcquaintedLimit))
      throw std::runtime_error("the daemons do not know each other");
}

} // namespace Experiments
