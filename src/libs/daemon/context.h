#ifndef DAEMON_CONTEXT_H
#define DAEMON_CONTEXT_H

#include "daemon/endpointclients.h"
#include "daemon/keywatch.h"
#include "daemon/peerdutylog.h"
#include "daemon/retrybudget.h"
#include "daemon/suspectboard.h"
#include "daemon/upstream.h"
#include "daemon/waitingboard.h"
#include "environment/environment.h"
#include "history/history.h"
#include "logsync/logsync.h"
#include "metrics/metrics.h"
#include "peers/peers.h"
#include "routing/routing.h"
#include "settings/settings.h"
#include "utils/utils.h"

#include <atomic>

namespace Daemon::Internal {

struct AdmissionDuty;

/// What the duties of one daemon share. Members are thread-safe.
struct Context {
  Settings::DaemonSettings Settings;
  Utils::Clock Clock;
  Environment::LogService Log;
  Environment::VmList Vms;
  Environment::WeightStore Weights;
  History::StateStore Store;
  Metrics::Registry Metrics;
  EndpointClients Clients;
  RetryBudget Retries;
  KeyWatch Keys{Store};
  Routing::Outliers Outliers;
  SuspectBoard Suspects;
  Routing::ReplicaIndex Replicas;
  Routing::LoadBoard Loads;
  WaitingBoard Waiting{Clock};
  LoadForecast Forecast;
  std::unique_ptr<Peers::Node> Node;
  /// Requests to other daemons; handlers are registered before the start.
  Peers::Rpc Rpc;
  /// Id of the join that this process records when it starts.
  std::string JoinId;
  /// This process has been recorded as a member.
  std::atomic<bool> IsMember = false;
  std::unique_ptr<LogContact> Contact;
  std::unique_ptr<PeerLog> PeerReads;
  std::unique_ptr<LogSync::Follower> Follower;
  std::unique_ptr<LogSync::Appender> Appender;
  std::unique_ptr<UpstreamPool> Upstream;
  std::shared_ptr<AdmissionDuty> Admission;
};

/// Appends a record whose outcome shows in the state; a failure is logged.
void appendRecord(Context &context, const History::Record &record,
                  Utils::Milliseconds timeout);

} // namespace Daemon::Internal

#endif // DAEMON_CONTEXT_H
