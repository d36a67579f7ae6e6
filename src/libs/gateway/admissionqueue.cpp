#include "gateway/admissionqueue.h"

#include "gateway/call.h"

#include <utility>

namespace Gateway {

void AdmissionQueue::add(uint64_t id, std::weak_ptr<Call> call) {
  Calls.emplace(id, std::move(call));
}

void AdmissionQueue::resolve(const std::vector<Quota::Decision> &decisions) {
  for (const Quota::Decision &it : decisions) {
    auto waiting = Calls.extract(it.Call);
    if (waiting.empty())
      continue;
    if (auto call = waiting.mapped().lock())
      call->onAdmissionDecided(it);
  }
}

} // namespace Gateway
