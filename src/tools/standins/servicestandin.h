#ifndef STANDINS_SERVICESTANDIN_H
#define STANDINS_SERVICESTANDIN_H

#include "standins/standin.h"

#include <map>
#include <mutex>

namespace Standins {

/// A plain service that counts executions by idempotency key. GET
/// /control/executions shows the counts, POST /control sets `delay_ms` and
/// `lose_answers` (the call takes effect, the connection closes).
class ServiceStandin {
public:
  uint16_t start(uint16_t port = 0);
  void stop() { Server.stop(); }

private:
  void call(const httplib::Request &request, httplib::Response &response);

  LoopbackServer Server;
  std::mutex Mutex;
  std::map<std::string, uint64_t> Executions;
  Json Journal = Json::array();
  uint32_t DelayMs = 0;
  uint32_t LoseAnswers = 0;
};

} // namespace Standins

#endif // STANDINS_SERVICESTANDIN_H
