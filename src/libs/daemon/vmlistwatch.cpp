#include "daemon/vmlistwatch.h"

namespace Daemon::Internal {

namespace {

constexpr Utils::Milliseconds VmListPeriod(1000);
constexpr Utils::Milliseconds WantedPoll(100);

History::EndpointChange changeOf(const Environment::Vm &vm,
                                 History::Position fence) {
  History::EndpointChange change;
  change.ChangeId = Utils::randomId();
  change.Fence = fence;
  change.Endpoint = vm.Name;
  change.Kind = vm.Kind == Environment::VmKind::Engine
                    ? History::EndpointKind::Engine
                    : History::EndpointKind::Service;
  change.Life = vm.State == Environment::VmState::Leaving
                    ? History::EndpointLife::Leaving
                    : History::EndpointLife::Live;
  change.Address = vm.Address;
  change.Port = vm.Port;
  change.FailureDomain = vm.FailureDomain;
  change.MemoryMb = vm.MemoryMb;
  change.ChecksFencing = vm.ChecksFencing;
  change.Service = vm.Service;
  return change;
}

bool differs(const History::Endpoint &known,
             const History::EndpointChange &seen) {
  return known.Life != seen.Life || known.Address != seen.Address ||
         known.Port != seen.Port || known.MemoryMb != seen.MemoryMb ||
         known.ChecksFencing != seen.ChecksFencing ||
         known.Service != seen.Service || known.Kind != seen.Kind;
}

} // namespace

std::vector<History::EndpointChange>
vmListChanges(const History::State &state,
              const std::vector<Environment::Vm> &vms,
              History::Position fence) {
  std::vector<History::EndpointChange> changes;
  std::set<std::string> listed;
  for (const Environment::Vm &vm : vms) {
    if (vm.Kind == Environment::VmKind::Entry)
      continue;
    listed.insert(vm.Name);
    History::EndpointChange change = changeOf(vm, fence);
    auto it = state.Endpoints.find(vm.Name);
    if (it == state.Endpoints.end() || differs(it->second, change))
      changes.push_back(std::move(change));
  }
  for (const auto &[name, endpoint] : state.Endpoints) {
    if (listed.count(name) || endpoint.Life == History::EndpointLife::Gone)
      continue;
    History::EndpointChange change;
    change.ChangeId = Utils::randomId();
    change.Fence = fence;
    change.Endpoint = name;
    change.Kind = endpoint.Kind;
    change.Life = History::EndpointLife::Gone;
    changes.push_back(std::move(change));
  }
  return changes;
}

std::vector<std::string>
daemonsThatLeft(const std::vector<Environment::Vm> &vms,
                std::set<std::string> &listed) {
  std::set<std::string> now;
  for (const Environment::Vm &vm : vms)
    if (vm.Kind == Environment::VmKind::Entry)
      now.insert(vm.Name);
  std::vector<std::string> left;
  for (const std::string &name : listed)
    if (!now.count(name))
      left.push_back(name);
  listed = std::move(now);
  return left;
}

void VmListWatch::start() {
  Thread = std::thread([this] { run(); });
}

void VmListWatch::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  if (Thread.joinable())
    Thread.join();
}

std::optional<std::vector<Environment::Vm>> VmListWatch::take() {
  std::lock_guard lock(Mutex);
  return std::exchange(Newest, std::nullopt);
}

void VmListWatch::run() {
  std::unique_lock lock(Mutex);
  while (!Stopping) {
    if (!Wanted) {
      Wake.wait_for(lock, WantedPoll);
      continue;
    }
    lock.unlock();
    auto vms = List.List();
    if (!vms)
      Source.recordFailure(vms.error().What);
    else
      Source.recordSuccess();
    lock.lock();
    if (vms)
      Newest = std::move(vms.value());
    Wake.wait_for(lock, VmListPeriod, [this] { return Stopping; });
  }
}

} // namespace Daemon::Internal
