#include "support/leavingendpointcallers.h"

#include "utils/digest.h"

#include <algorithm>

namespace Support {

LeavingEndpointCallers::LeavingEndpointCallers(const Cluster &cluster,
                                               const std::vector<int> &daemons,
                                               std::string key,
                                               std::string model,
                                               std::string endpoint)
    : TestCluster(cluster), Key(std::move(key)), Model(std::move(model)),
      Endpoint(std::move(endpoint)), RunId(Utils::randomId()) {
  Threads.reserve(daemons.size());
  for (int it : daemons)
    Threads.emplace_back([this, it] { run(it); });
}

void LeavingEndpointCallers::stop() {
  Stopped = true;
  for (std::thread &it : Threads)
    if (it.joinable())
      it.join();
}

size_t LeavingEndpointCallers::callsAfterNotice(int daemon) const {
  std::lock_guard lock(Mutex);
  return static_cast<size_t>(
      std::count_if(Calls.begin(), Calls.end(), [&](const RecordedCall &it) {
        return it.Daemon == daemon && it.AfterNotice;
      }));
}

std::vector<RecordedCall> LeavingEndpointCallers::calls() const {
  std::lock_guard lock(Mutex);
  return Calls;
}

void LeavingEndpointCallers::run(int daemon) {
  for (size_t round = 0; !Stopped; ++round) {
    RecordedCall call;
    call.Daemon = daemon;
    call.Prompt =
        std::to_string(daemon) + "-" + std::to_string(round) + "-" + RunId;
    call.AfterNotice = reportsLeaving(TestCluster, daemon, Endpoint);
    call.SentAt = std::chrono::steady_clock::now();
    call.Status = TestCluster
                      .post(daemon, "/v1/completions",
                            completionBody(Model, call.Prompt, 1), Key)
                      .Status;
    std::lock_guard lock(Mutex);
    Calls.push_back(std::move(call));
  }
}

bool reportsLeaving(const Cluster &cluster, int daemon,
                    const std::string &endpoint) {
  Json endpoints = cluster.status(daemon).value("endpoints", Json::array());
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const Json &it) {
    return it["endpoint"] == endpoint && it["state"] == "leaving";
  });
}

void markLeaving(const Cluster &cluster, const std::string &endpoint) {
  Json vms = cluster.vms();
  for (Json &vm : vms)
    if (vm["name"] == endpoint)
      vm["state"] = "leaving";
  cluster.control("vm_list", {{"vms", vms}});
}

std::set<std::string> receivedPrompts(const Cluster &cluster,
                                      const std::string &engine) {
  std::set<std::string> prompts;
  Json journal = cluster.get(engine, "/admin/journal");
  for (const Json &it : journal) {
    if (!it.contains("call"))
      continue;
    Json body = Json::parse(it["body"].get<std::string>(), nullptr, false);
    if (body.is_object())
      prompts.insert(body.value("prompt", std::string()));
  }
  return prompts;
}

} // namespace Support
