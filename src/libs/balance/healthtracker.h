#ifndef BALANCE_HEALTHTRACKER_H
#define BALANCE_HEALTHTRACKER_H

#include "utils/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Balance {

using Utils::TimePoint;

/// How a call sent to an endpoint ended, as far as the endpoint is to blame.
enum class SendEnd : uint8_t {
  Answered,
  Refused,   ///< Not run: full, or it does not hold what the call needs.
  Failed,    ///< Its own error.
  Broken,    ///< Connection refused, reset or cut short.
  Silent,    ///< No answer by the deadline.
  Withdrawn, ///< The caller left or another attempt won; says nothing.
};

std::string_view sendEndName(SendEnd end);

/// What this VM has seen of one endpoint.
struct EndpointHealth {
  /// Calls of this VM that are under way there.
  uint32_t InFlight = 0;
  uint32_t FailuresInRow = 0;
  /// It is passed over until then while others can take the call.
  TimePoint AvoidUntil{};
  /// It has asked this VM for nothing until then.
  TimePoint RestUntil{};
  /// Moving average over answered calls of the time to the first byte of the
  /// answer, in milliseconds; 0 before the first.
  double FirstByteMs = 0;
};

/// Health of every endpoint by id, as seen from this VM's own calls.
class EndpointBoard {
public:
  void sent(const std::string &id);
  void answering(const std::string &id, double firstByteMs);
  void ended(const std::string &id, SendEnd end, TimePoint now);
  /// The endpoint wants nothing from this VM until then.
  void rest(const std::string &id, TimePoint until);
  const EndpointHealth &health(const std::string &id) const;
  void forget(const std::string &id);

private:
  std::unordered_map<std::string, EndpointHealth> Healths;
};

} // namespace Balance

#endif // BALANCE_HEALTHTRACKER_H
