#ifndef STANDINS_WEIGHTSTORESTANDIN_H
#define STANDINS_WEIGHTSTORESTANDIN_H

#include "standins/standin.h"

#include <condition_variable>
#include <mutex>

namespace Standins {

/// The platform's weight store: four model loads at once at full speed, and
/// adapters at full speed while no more than thirty are in flight. POST
/// /control sets `slowness`, a factor on every load.
class WeightStoreStandin {
public:
  uint16_t start(uint16_t port = 0);
  void stop() { Server.stop(); }

  /// Blocks for as long as the transfer takes.
  void loadModel(std::chrono::milliseconds alone);
  void loadAdapter();

private:
  LoopbackServer Server;
  std::mutex Mutex;
  std::condition_variable Freed;
  uint32_t ModelLoads = 0;
  uint32_t AdapterLoads = 0;
  double Slowness = 1;
};

} // namespace Standins

#endif // STANDINS_WEIGHTSTORESTANDIN_H
