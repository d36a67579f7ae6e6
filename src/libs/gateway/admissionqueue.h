#ifndef GATEWAY_ADMISSIONQUEUE_H
#define GATEWAY_ADMISSIONQUEUE_H

#include "quota/quota.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace Gateway {

class Call;

/// Calls that wait for the rate-limit decision on their token requests.
class AdmissionQueue {
public:
  /// Allocates an id for a token request.
  uint64_t nextId() { return ++LastId; }
  void add(uint64_t id, std::weak_ptr<Call> call);
  void remove(uint64_t id) { Calls.erase(id); }
  void resolve(const std::vector<Quota::Decision> &decisions);

private:
  uint64_t LastId = 0;
  std::map<uint64_t, std::weak_ptr<Call>> Calls;
};

} // namespace Gateway

#endif // GATEWAY_ADMISSIONQUEUE_H
