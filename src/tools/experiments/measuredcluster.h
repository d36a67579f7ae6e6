#ifndef EXPERIMENTS_MEASUREDCLUSTER_H
#define EXPERIMENTS_MEASUREDCLUSTER_H

#include "support/cluster.h"

namespace Experiments {

/// Which ways of a daemon lead through the fault proxy besides its log.
struct ProxiedWays {
  /// Links `peer-dN` (TCP) and `gossip-dN` (UDP) before each daemon.
  bool Peers = false;
  /// Links `vms-dN` to the VM list.
  bool VmList = false;
};

/// Options of a cluster whose links are named and counted by the proxy.
Support::ClusterOptions measuredOptions(int daemons, int engines,
                                        const ProxiedWays &ways, uint64_t seed);

/// Sets the same faults on both directions of a link.
void setBothWays(Support::Cluster &cluster, const std::string &link,
                 const FaultProxy::Faults &faults);

std::string linkName(const char *kind, int daemon);

/// Starts so many daemons from the first one and waits until each of them is
/// ready and sees all others alive; throws when that takes over a minute.
void startAcquainted(Support::Cluster &cluster, int first, int daemons);

} // namespace Experiments

#endif // EXPERIMENTS_MEASUREDCLUSTER_H
