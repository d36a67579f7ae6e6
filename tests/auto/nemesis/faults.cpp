#include "faults.h"

#include "experiments/measuredcluster.h"

#include <csignal>

namespace Nemesis {

namespace {

using FaultProxy::Direction;
using FaultProxy::Faults;
using Support::Cluster;
using Support::Json;

std::string logLink(int victim) { return "log-d" + std::to_string(victim); }

void restartDaemon(Cluster &cluster, int victim) {
  cluster.startDaemon(victim);
  cluster.waitReady(victim);
}

void killDaemon(Cluster &cluster, std::mt19937_64 &, int victim) {
  cluster.daemon(victim).kill();
}

void pauseDaemon(Cluster &cluster, std::mt19937_64 &, int victim) {
  cluster.daemon(victim).signal(SIGSTOP);
}
void resumeDaemon(Cluster &cluster, int victim) {
  cluster.daemon(victim).signal(SIGCONT);
}

void replaceDaemon(Cluster &cluster, std::mt19937_64 &, int victim) {
  cluster.daemon(victim).terminate();
}

void beginLogOutage(Cluster &cluster, std::mt19937_64 &, int) {
  cluster.control("log", {{"outage", true}});
}
void endLogOutage(Cluster &cluster, int) {
  cluster.control("log", {{"outage", false}});
}

void loseAppendResponses(Cluster &cluster, std::mt19937_64 &random, int) {
  std::uniform_int_distribution<int> count(3, 20);
  cluster.control("log", {{"lose_answers", count(random)}});
}
void endsByItself(Cluster &, int) {}

void refuseLogConnections(Cluster &cluster, std::mt19937_64 &, int victim) {
  Faults refuse;
  refuse.Refuse = true;
  cluster.proxy().setFaults(logLink(victim), Direction::ToTarget, refuse);
}
void discardLogResponses(Cluster &cluster, std::mt19937_64 &, int victim) {
  Faults discard;
  discard.Discard = true;
  cluster.proxy().setFaults(logLink(victim), Direction::ToClient, discard);
}
void healProxy(Cluster &cluster, int) { cluster.proxy().heal(); }

void partitionPeer(Cluster &cluster, int daemon, Direction direction) {
  Faults discard;
  discard.Discard = true;
  for (const char *kind : {"peer", "gossip"})
    cluster.proxy().setFaults(Experiments::linkName(kind, daemon), direction,
                              discard);
}
void partitionAllPeers(Cluster &cluster, std::mt19937_64 &, int) {
  for (int i = 0; i < cluster.daemons(); ++i) {
    partitionPeer(cluster, i, Direction::ToTarget);
    partitionPeer(cluster, i, Direction::ToClient);
  }
}
void partitionInbound(Cluster &cluster, std::mt19937_64 &, int victim) {
  partitionPeer(cluster, victim, Direction::ToTarget);
}

void loseDeskResponses(Cluster &cluster, std::mt19937_64 &random, int) {
  Faults dropResponses;
  dropResponses.SwallowNext =
      std::uniform_int_distribution<uint32_t>(1, 6)(random);
  cluster.proxy().setFaults("desk-0", Direction::ToClient, dropResponses);
}

void refuseEngineConnections(Cluster &cluster, std::mt19937_64 &, int) {
  Faults refuse;
  refuse.Refuse = true;
  cluster.proxy().setFaults("engine-0", Direction::ToTarget, refuse);
}

void slowDownWeightStore(Cluster &cluster, std::mt19937_64 &, int) {
  cluster.control("weight_store", {{"slowness", 5.0}});
}
void restoreWeightStore(Cluster &cluster, int) {
  cluster.control("weight_store", {{"slowness", 1.0}});
}

void markEngineLeaving(Cluster &cluster, std::mt19937_64 &, int) {
  Json vms = cluster.vms();
  for (Json &vm : vms)
    if (vm["name"] == "engine-0")
      vm["state"] = "leaving";
  cluster.control("vm_list", {{"vms", vms}, {"lag_ms", 200}});
}
void restoreVmList(Cluster &cluster, int) {
  cluster.control("vm_list", {{"vms", cluster.vms()}});
}

} // namespace

const std::vector<Fault> &faults() {
  static const std::vector<Fault> all = {
      {"daemon killed", killDaemon, restartDaemon, true, true},
      {"daemon paused beyond its lease", pauseDaemon, resumeDaemon, false,
       false, true},
      {"daemon replaced", replaceDaemon, restartDaemon, false, true},
      {"log outage", beginLogOutage, endLogOutage, false, false},
      {"responses to log appends lost", loseAppendResponses, endsByItself,
       false, false},
      {"daemon cut off from the log", refuseLogConnections, healProxy, false,
       false},
      {"log responses to a daemon discarded", discardLogResponses, healProxy,
       false, false},
      {"all daemons parted from each other", partitionAllPeers, healProxy,
       false, false},
      {"inbound peer traffic of a daemon discarded", partitionInbound,
       healProxy, false, false},
      {"service answers lost after the effect", loseDeskResponses, healProxy,
       false, false},
      {"engine unreachable", refuseEngineConnections, healProxy, false, false},
      {"weight store slow", slowDownWeightStore, restoreWeightStore, false,
       false},
      {"engine VM leaving", markEngineLeaving, restoreVmList, false, false},
  };
  return all;
}

} // namespace Nemesis
