#include "settings/rules.h"

#include <charconv>

namespace Settings::Internal {

namespace {

using Json = nlohmann::json;

constexpr uint64_t MaxPort = 65535;
constexpr uint64_t MaxTextBytes = 256;
constexpr uint64_t MaxDurationMs = 86'400'000;
constexpr uint64_t MinSecretBytes = 16;
/// Claims are kept for an hour after they expire; a clock error may not exceed
/// that.
constexpr uint64_t MaxClockErrorMs = 3'600'000;

template <auto Member> void storeNumber(DaemonSettings &s, const Json &value) {
  using T = std::remove_reference_t<decltype(s.*Member)>;
  s.*Member = static_cast<T>(value.get<uint64_t>());
}
template <auto Member> void storeText(DaemonSettings &s, const Json &value) {
  s.*Member = value.get<std::string>();
}
template <auto Member> void storeAddress(DaemonSettings &s, const Json &value) {
  if (!value.is_null())
    parseHostPort(value.get<std::string>(), s.*Member);
}
void storeSeeds(DaemonSettings &s, const Json &value) {
  for (const Json &it : value) {
    HostPort address;
    parseHostPort(it.get<std::string>(), address);
    s.Seeds.push_back(address);
  }
}

using S = DaemonSettings;
using V = ValueType;

constexpr Rule Rules[] = {
    {"daemon", "name", V::Text, true, 1, MaxTextBytes, nullptr,
     "name of the daemon, unique among all daemons", storeText<&S::Name>},
    {"daemon", "failure_domain", V::Text, true, 1, MaxTextBytes, nullptr,
     "failure domain of its VM", storeText<&S::FailureDomain>},
    {"daemon", "listen_address", V::Text, false, 1, MaxTextBytes,
     "\"127.0.0.1\"", "IP number that it listens on",
     storeText<&S::ListenAddress>},
    {"daemon", "http_port", V::Number, true, 1, MaxPort, nullptr,
     "TCP port for callers", storeNumber<&S::HttpPort>},
    {"daemon", "admin_port", V::Number, true, 1, MaxPort, nullptr,
     "TCP port for status and metrics", storeNumber<&S::AdminPort>},
    {"daemon", "peer_port", V::Number, true, 1, MaxPort, nullptr,
     "UDP and TCP port for other daemons", storeNumber<&S::PeerPort>},
    {"platform", "log", V::Address, true, 0, 0, nullptr,
     "address of the append-only log", storeAddress<&S::Log>},
    {"platform", "vm_list", V::Address, true, 0, 0, nullptr,
     "address of the VM list", storeAddress<&S::VmList>},
    {"platform", "weight_store", V::Address, true, 0, 0, nullptr,
     "address of the weight store", storeAddress<&S::WeightStore>},
    {"peers", "cluster_secret", V::Text, true, MinSecretBytes, MaxTextBytes,
     nullptr, "secret shared by all daemons, authenticates their messages",
     storeText<&S::ClusterSecret>},
    {"peers", "seeds", V::AddressList, false, 0, 0, "[]",
     "addresses of daemons asked first", storeSeeds},
    {"peers", "advertise", V::Address, false, 0, 0, "null",
     "address at which other daemons reach this one; when missing, "
     "daemon.listen_address and daemon.peer_port",
     storeAddress<&S::Advertise>},
    {"peers", "currency_ms", V::Number, false, 1000, 12'000, "4000",
     "how long the last proof that the state is current holds; without one, "
     "keyed routes are refused",
     storeNumber<&S::CurrencyMs>},
    {"http", "leave_balancer_ms", V::Number, false, 0, MaxDurationMs, "0",
     "how long a stopping daemon serves on, not ready, until the balancer has "
     "noticed",
     storeNumber<&S::LeaveBalancerMs>},
    {"http", "threads", V::Number, false, 4, 4096, "64",
     "callers served at once", storeNumber<&S::HttpThreads>},
    {"http", "max_body_bytes", V::Number, false, 1024, 1'073'741'824, "4194304",
     "largest request body", storeNumber<&S::MaxBodyBytes>},
    {"http", "default_deadline_ms", V::Number, false, 10, MaxDurationMs,
     "30000", "deadline of a request that names none",
     storeNumber<&S::DefaultDeadlineMs>},
    {"http", "max_deadline_ms", V::Number, false, 10, MaxDurationMs, "600000",
     "longest deadline a caller may ask for", storeNumber<&S::MaxDeadlineMs>},
    {"http", "drain_ms", V::Number, false, 0, MaxDurationMs, "30000",
     "longest wait for running answers at a planned stop",
     storeNumber<&S::DrainMs>},
    {"lease", "duration_ms", V::Number, false, 500, 600'000, "4000",
     "how long a duty stays with a holder that renews no more",
     storeNumber<&S::LeaseDurationMs>},
    {"lease", "clock_rate_error_ppm", V::Number, false, 0, 100'000, "10000",
     "bound on the error of a VM's clock rate, parts in a million",
     storeNumber<&S::ClockRateErrorPpm>},
    {"orders", "clock_error_ms", V::Number, false, 0, MaxClockErrorMs, "60000",
     "bound on the error of a VM's wall clock; an idempotency key that carries "
     "an expiry starts no run for this long before it, and its claim is kept "
     "for this long after it",
     storeNumber<&S::ClockErrorMs>},
    {"placement", "keep_alive_ms", V::Number, false, 0, MaxDurationMs, "300000",
     "longest time that an idle replica is kept", storeNumber<&S::KeepAliveMs>},
    {"placement", "weight_idle_hours", V::Number, false, 0, 1000, "1",
     "cost of an engine held idle for an hour, against weight_cold_start",
     storeNumber<&S::WeightIdleHours>},
    {"placement", "weight_cold_start", V::Number, false, 0, 100'000, "20",
     "cost of an hour that first requests wait for their model",
     storeNumber<&S::WeightColdStart>},
};

} // namespace

std::span<const Rule> rules() { return Rules; }

std::string allowedText(const Rule &rule) {
  std::string range =
      std::to_string(rule.Min) + " to " + std::to_string(rule.Max);
  switch (rule.Type) {
  case ValueType::Text:
    return "a text of " + range + " bytes";
  case ValueType::Number:
    return "a whole number from " + range;
  case ValueType::Address:
    return "\"IP:PORT\"";
  case ValueType::AddressList:
    return "a list of \"IP:PORT\"";
  }
  return "";
}

bool parseHostPort(std::string_view text, HostPort &address) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return false;
  std::string_view host = text.substr(0, colon);
  std::string_view port = text.substr(colon + 1);
  if (host.find_first_not_of("0123456789abcdefABCDEF.:[]") !=
      std::string_view::npos)
    return false;
  auto [end, ec] =
      std::from_chars(port.data(), port.data() + port.size(), address.Port);
  address.Host = host;
  return ec == std::errc() && end == port.data() + port.size() &&
         address.Port != 0;
}

} // namespace Settings::Internal
