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

void restart(Cluster &cluster, int victim) {
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

void logOutage(Cluster &cluster, std::mt19937_64 &, int) {
  cluster.control("log", {{"outage", true}});
}
void logReturns(Cluster &cluster, int) {
  cluster.control("log", {{"outage", false}});
}

void loseAppendAnswers(Cluster &cluster, std::mt19937_64 &random, int) {
  std::uniform_int_distribution<int> count(3, 20);
  cluster.control("log", {{"lose_answers", count(random)}});
}
void nothing(Cluster &, int) {}

void cutFromLog(Cluster &cluster, std::mt19937_64 &, int victim) {
  Faults refuse;
  refuse.Refuse = true;
  cluster.proxy().setFaults(logLink(victim), Direction::ToTarget, refuse);
}
void halfOpenToLog(Cluster &cluster, std::mt19937_64 &, int victim) {
  Faults discard;
  discard.Discard = true;
  cluster.proxy().setFaults(logLink(victim), Direction::ToClient, discard);
}
void healProxy(Cluster &cluster, int) { cluster.proxy().heal(); }

void partPeer(Cluster &cluster, int daemon, Direction way) {
  Faults discard;
  discard.Discard = true;
  for (const char *kind : {"peer", "gossip"})
    cluster.proxy().setFaults(Experiments::linkName(kind, daemon), way,
                              discard);
}
void partAllPeers(Cluster &cluster, std::mt19937_64 &, int) {
  for (int i = 0; i < cluster.daemons(); ++i) {
    partPeer(cluster, i, Direction::ToTarget);
    partPeer(cluster, i, Direction::ToClient);
  }
}
void partTowardsDaemon(Cluster &cluster, std::mt19937_64 &, int victim) {
  partPeer(cluster, victim, Direction::ToTarget);
}

void swallowDeskAnswers(Cluster &cluster, std::mt19937_64 &random, int) {
  Faults swallow;
  swallow.SwallowNext = std::uniform_int_distribution<uint32_t>(1, 6)(random);
  cluster.proxy().setFaults("desk-0", Direction::ToClient, swallow);
}

void cutEngine(Cluster &cluster, std::mt19937_64 &, int) {
  Faults refuse;
  refuse.Refuse = true;
  cluster.proxy().setFaults("engine-0", Direction::ToTarget, refuse);
}

void slowWeightStore(Cluster &cluster, std::mt19937_64 &, int) {
  cluster.control("weight_store", {{"slowness", 5.0}});
}
void fastWeightStore(Cluster &cluster, int) {
  cluster.control("weight_store", {{"slowness", 1.0}});
}

void reclaimEngine(Cluster &cluster, std::mt19937_64 &, int) {
  Json vms = cluster.vms();
  for (Json &vm : vms)
    if (vm["name"] == "engine-0")
      vm["state"] = "leaving";
  cluster.control("vm_list", {{"vms", vms}, {"lag_ms", 200}});
}
void engineStays(Cluster &cluster, int) {
  cluster.control("vm_list", {{"vms", cluster.vms()}});
}

} // namespace

const std::vector<Fault> &faults() {
  static const std::vector<Fault> all = {
      {"daemon killed", killDaemon, restart, true, true},
      {"daemon paused beyond its lease", pauseDaemon, resumeDaemon, false,
       false, true},
      {"daemon replaced", replaceDaemon, restart, false, true},
      {"log outage", logOutage, logReturns, false, false},
      {"append answers lost", loseAppendAnswers, nothing, false, false},
      {"daemon cut off from the log", cutFromLog, healProxy, false, false},
      {"daemon's log answers lost for good", halfOpenToLog, healProxy, false,
       false},
      {"all daemons parted from each other", partAllPeers, healProxy, false,
       false},
      {"nothing from its peers reaches a daemon", partTowardsDaemon, healProxy,
       false, false},
      {"service answers lost after the effect", swallowDeskAnswers, healProxy,
       false, false},
      {"engine unreachable", cutEngine, healProxy, false, false},
      {"weight store slow", slowWeightStore, fastWeightStore, false, false},
      {"engine VM leaving", reclaimEngine, engineStays, false, false},
  };
  return all;
}

} // namespace Nemesis
