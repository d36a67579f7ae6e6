#include "daemon/admit.h"
#include "daemon/context.h"
#include "daemon/leasekeeper.h"
#include "history/historyconstants.h"
#include "routing/routing.h"

namespace Daemon::Internal {

namespace {

constexpr char LimitsLeaseName[] = "limits";
/// A grant outlives a lease, so that streams go on while a holder changes.
constexpr uint32_t GrantLeasePercent = 150;
constexpr uint32_t Percent = 100;
/// Calls that all daemons together keep running at one replica.
constexpr uint32_t CallsPerReplica = 64;
constexpr uint32_t MinCalls = 2;
constexpr Utils::Milliseconds SuccessorWait(1500);
constexpr size_t RememberedHolders = 16;

Limits::Policy policyOf(const Settings::DaemonSettings &settings) {
  Limits::Policy policy;
  policy.GrantMs = settings.LeaseDurationMs * GrantLeasePercent / Percent;
  policy.ClockRateErrorPpm = settings.ClockRateErrorPpm;
  return policy;
}

std::map<std::string, Limits::Limit> limitsIn(const History::State &state) {
  std::map<std::string, Limits::Limit> limits;
  for (const auto &[team, spec] : state.Table.Teams)
    limits[team] = {spec.RateTokensPerS, spec.BurstTokens};
  return limits;
}

} // namespace

struct AdmissionDuty::Content {
  explicit Content(Context &context)
      : Shared(context),
        Keeper(context, LimitsLeaseName, LeaseKeeper::OnLogOutage::Continues),
        Limits(limitsPorts(), context.Metrics),
        Admission(admitPorts(), Limits, context.Metrics) {}

  LimitsPorts limitsPorts() {
    LimitsPorts ports;
    ports.Name = Shared.Settings.Name;
    ports.Clock = Shared.Clock;
    ports.Rpc = Shared.Rpc;
    ports.Policy = policyOf(Shared.Settings);
    ports.Lead = [this] { return lead(); };
    ports.Teams = [this] { return Shared.Store.read(limitsIn); };
    ports.Members = [this] { return knownDaemons(); };
    return ports;
  }

  AdmitPorts admitPorts() {
    AdmitPorts ports;
    ports.Clock = Shared.Clock;
    ports.Capacity = [this](const std::string &model) {
      return capacityOf(model);
    };
    ports.ReadyInMs = [this](const std::string &model) {
      return readyInMs(model);
    };
    ports.Team = [this](const std::string &team) {
      return Shared.Store.read([&](const History::State &state) {
        auto it = state.Table.Teams.find(team);
        return it == state.Table.Teams.end() ? Table::TeamSpec() : it->second;
      });
    };
    return ports;
  }

  /// Members of the log's state and of the gossip, which may know none of them
  /// in its first moments.
  std::set<std::string> knownDaemons() {
    std::set<std::string> names;
    Shared.Store.read([&](const History::State &state) {
      for (const auto &[name, member] : state.Members)
        names.insert(name);
      return 0;
    });
    if (Shared.Rpc.Members)
      for (const std::string &it : Shared.Rpc.Members())
        names.insert(it);
    return names;
  }
  bool knowsOthers() {
    std::set<std::string> names = knownDaemons();
    names.erase(Shared.Settings.Name);
    return !names.empty();
  }

  std::optional<uint32_t> readyInMs(const std::string &model) {
    Utils::TimePoint now = Shared.Clock.Now();
    return Shared.Store.read(
        [&](const History::State &state) -> std::optional<uint32_t> {
          if (!Shared.Replicas.ready(state, model, now).empty())
            return 0;
          return Shared.Forecast.readyInMs(state, model, now);
        });
  }

  uint32_t capacityOf(const std::string &model) {
    size_t replicas = Shared.Store.read([&](const History::State &state) {
      return Routing::readyReplicas(state, model).size();
    });
    size_t daemons = Shared.Rpc.Members ? Shared.Rpc.Members().size() + 1 : 1;
    size_t calls = std::max<size_t>(replicas, 1) * CallsPerReplica / daemons;
    return std::max(static_cast<uint32_t>(calls), MinCalls);
  }

  LimitsLead lead() {
    LimitsLead found;
    bool isMember = false;
    History::Lease lease = Shared.Store.read([&](const History::State &state) {
      isMember = state.Members.count(Shared.Settings.Name) != 0;
      auto it = state.Leases.find(LimitsLeaseName);
      return it == state.Leases.end() ? History::Lease() : it->second;
    });
    // A daemon takes no tokens before its successors' states name it.
    found.IsMember = isMember && Shared.IsMember;
    if (found.IsMember)
      found.Holder = lease.Holder;
    found.Fence = lease.Fence;
    found.IsActing = lease.Fence != 0 && lease.Known >= lease.Fence;
    if (uint64_t fence = Keeper.fence(); fence != 0) {
      found.Holder = Shared.Settings.Name;
      found.Fence = fence;
      found.Self = true;
      found.ReplacedFence = Keeper.replacedFence();
    }
    std::lock_guard lock(Mutex);
    if (!lease.Holder.empty())
      Holders[lease.Fence] = lease.Holder;
    if (Holders.size() > RememberedHolders)
      Holders.erase(Holders.begin());
    if (auto it = Holders.find(found.ReplacedFence); it != Holders.end())
      found.ReplacedHolder = it->second;
    return found;
  }

  Context &Shared;
  std::mutex Mutex;
  std::map<uint64_t, std::string> Holders;
  LeaseKeeper Keeper;
  LimitsDuty Limits;
  Admit Admission;
  bool Stopped = false;
};

AdmissionDuty::AdmissionDuty(Context &context)
    : Data(std::make_unique<Content>(context)) {}

AdmissionDuty::~AdmissionDuty() { stop(); }

void AdmissionDuty::start() {
  Data->Keeper.start();
  Data->Limits.start();
}

void AdmissionDuty::stop() {
  if (std::exchange(Data->Stopped, true))
    return;
  Data->Limits.end();
  bool held = Data->Keeper.holds();
  Data->Keeper.stop();
  Context &shared = Data->Shared;
  if (held && Data->knowsOthers())
    Data->Limits.waitForSuccessor(shared.Clock.Now() + SuccessorWait);
  Data->Limits.stop();
}

LimitsDuty &AdmissionDuty::limits() { return Data->Limits; }

Admit &AdmissionDuty::admission() { return Data->Admission; }

} // namespace Daemon::Internal
