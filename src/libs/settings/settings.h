#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

/// Public header of the settings library, which reads and checks a daemon's
/// settings file.
#include "utils/outcome.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// Address of a TCP or UDP endpoint; the host is an IP address.
struct HostPort {
  std::string Host;
  uint16_t Port = 0;
};

/// Settings of one daemon. describeRules() lists their names in the file and
/// their meanings; a name includes its unit.
struct DaemonSettings {
  std::string Name;
  std::string FailureDomain;
  std::string ListenAddress = "127.0.0.1";
  uint16_t HttpPort = 0;
  uint16_t AdminPort = 0;
  uint16_t PeerPort = 0;
  HostPort Log;
  HostPort VmList;
  HostPort WeightStore;
  std::string ClusterSecret;
  std::vector<HostPort> Seeds;
  /// Port 0 if the setting is missing.
  HostPort Advertise;
  uint32_t CurrencyMs = 4000;
  uint32_t LeaveBalancerMs = 0;
  uint32_t HttpThreads = 0;
  uint64_t MaxBodyBytes = 0;
  uint32_t DefaultDeadlineMs = 0;
  uint32_t MaxDeadlineMs = 0;
  uint32_t LeaseDurationMs = 0;
  uint32_t ClockRateErrorPpm = 0;
  uint32_t KeepAliveMs = 0;
  uint32_t WeightIdleHours = 0;
  uint32_t WeightColdStart = 0;
  uint32_t DrainMs = 0;
  uint32_t ClockErrorMs = 0;
};

/// One error in a settings file.
struct Fault {
  std::string File;
  size_t Line = 0;
  std::string Name;
  std::string Found;
  std::string Allowed;
};

/// `FILE:LINE: NAME: found X, allowed is Y`
std::string faultText(const Fault &fault);

/// Settings of a file and all faults found in it. The settings are valid only
/// if there are no faults.
struct LoadResult {
  DaemonSettings Values;
  std::vector<Fault> Faults;
};

/// Parses settings written in JSON with comments.
LoadResult parseSettings(std::string_view text, const std::string &file);

/// Reads and parses the file; reports a fault if it cannot be read.
LoadResult loadSettings(const std::string &file);

/// Writes the settings reference as a Markdown table, generated from the rules
/// that check the settings.
std::string describeRules();

} // namespace Settings

#endif // SETTINGS_SETTINGS_H
