#ifndef STANDINS_VMLISTSTANDIN_H
#define STANDINS_VMLISTSTANDIN_H

#include "standins/standin.h"

#include <mutex>

namespace Standins {

/// The platform's list of VMs. POST /control with `vms` replaces the list,
/// which readers see `lag_ms` later.
class VmListStandin {
public:
  explicit VmListStandin(Json vms) : Shown(std::move(vms)) {}
  uint16_t start(uint16_t port = 0);
  void stop() { Server.stop(); }

private:
  void control(const httplib::Request &request, httplib::Response &response);
  Json current();

  LoopbackServer Server;
  std::mutex Mutex;
  Json Shown;
  Json Next;
  std::chrono::steady_clock::time_point NextFrom;
  bool Outage = false;
};

} // namespace Standins

#endif // STANDINS_VMLISTSTANDIN_H
