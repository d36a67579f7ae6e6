#ifndef GATEWAY_GATEWAYSETTINGS_H
#define GATEWAY_GATEWAYSETTINGS_H

#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Gateway {

using Utils::Milliseconds;

/// What one VM is told by the platform when its process starts.
struct GatewaySettings {
  std::string VmName;
  std::string IpAddress;
  std::string FailureDomain;
  /// IP:PORT where callers connect.
  std::string CallerAddress;
  /// IP:PORT where the balancer asks whether the VM takes callers.
  std::string ReadinessAddress;
  /// Port of the VM's address where metrics are read; 0 for none.
  uint16_t MetricsPort = 0;
  /// First port that is free for traffic between VMs.
  uint16_t FirstInternalPort = 0;
  /// IP:PORT of the platform's metadata store.
  std::string StoreAddress;
  /// The whole fleet starts for the first time.
  bool FirstStart = false;
  /// Memory that the process may use.
  uint32_t MemoryMb = 0;
  /// Processor time that it may use, in cores.
  double Cores = 1;
  double LinkMbps = 1000;

  // Bounds that the operators state, with the meaning that this project gives
  // them.

  /// Time from a stop signal to the kill.
  Milliseconds StopGrace{8000};
  /// A withdrawn key must not run anything later than this.
  Milliseconds KeyWithdrawal{5000};
  /// A retired endpoint gets nothing later than this.
  Milliseconds EndpointDrain{2000};
  /// Two holders of a duty must be apart by this.
  Milliseconds DutyHandover{3000};
  /// Engines refuse orders with a lower token than one that they have seen.
  bool EnginesCheckTokens = false;
  /// Orders of a VM that was suspended may still arrive for this long.
  Milliseconds ThawSlack{300};
  /// Sends beyond the first, as a share of the calls of a service.
  double RetryRatio = 0.1;
  Milliseconds RetryWindow{10000};
  double RetrySlack = 0;
  /// Window over which the limit of a team is judged.
  Milliseconds LimitWindow{8000};
  double LimitOvershoot = 0;
  /// Tokens above the limit that are tolerated in a window.
  double LimitSlack = 0;
  /// Window over which loads from the weight store are counted.
  Milliseconds LoadWindow{5000};
  double LoadOvershoot = 1;
  /// How often endpoints report themselves.
  Milliseconds ReportInterval{1200};
};

} // namespace Gateway

#endif // GATEWAY_GATEWAYSETTINGS_H
