#ifndef PEERS_PEERS_H
#define PEERS_PEERS_H

/// Public header of the peers library: requests between daemons over TCP and
/// membership by UDP gossip, all authenticated with the cluster secret.
#include "peers/age.h"
#include "peers/node.h"
#include "peers/rpc.h"

#endif // PEERS_PEERS_H
