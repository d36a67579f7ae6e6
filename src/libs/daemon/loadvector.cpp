#include "daemon/loadvector.h"
#include "utils/digest.h"

#include <algorithm>

namespace Daemon::Internal {

namespace {

using Routing::LoadBoard;

constexpr uint8_t NoReading = 255;
constexpr uint32_t MaxLoad = 255;
constexpr size_t BytesPerEngine = 2;

/// Age in the board's units, rounded up; NoReading when it is stale.
uint8_t unitsOf(Utils::TimePoint at, Utils::TimePoint now) {
  auto age = std::max(std::chrono::ceil<Utils::Milliseconds>(now - at),
                      Utils::Milliseconds(0));
  int64_t units =
      (age + LoadBoard::AgeUnit - Utils::Milliseconds(1)) / LoadBoard::AgeUnit;
  if (age >= LoadBoard::StaleAfter || units >= NoReading)
    return NoReading;
  return static_cast<uint8_t>(units);
}

} // namespace

uint64_t engineListDigest(const std::vector<std::string> &engines) {
  std::string text;
  for (const std::string &it : engines)
    text.append(it).push_back('\n');
  return Utils::fastHash(text);
}

std::string encodeLoads(const std::vector<std::string> &engines,
                        const LoadBoard &board, Utils::TimePoint now) {
  std::string loads;
  loads.reserve(engines.size() * BytesPerEngine);
  for (const std::string &it : engines) {
    auto reading = board.reading(it);
    uint32_t load = reading ? std::min(reading->Load, MaxLoad) : 0;
    loads.push_back(static_cast<char>(load));
    loads.push_back(
        static_cast<char>(reading ? unitsOf(reading->At, now) : NoReading));
  }
  return loads;
}

bool takeLoads(LoadBoard &board, const std::vector<std::string> &engines,
               std::string_view loads, Utils::TimePoint askedAt) {
  if (loads.size() != engines.size() * BytesPerEngine)
    return false;
  for (size_t i = 0; i < engines.size(); ++i) {
    auto load = static_cast<uint8_t>(loads[i * BytesPerEngine]);
    auto units = static_cast<uint8_t>(loads[i * BytesPerEngine + 1]);
    if (units != NoReading)
      board.note(engines[i], {load, askedAt - units * LoadBoard::AgeUnit});
  }
  return true;
}

} // namespace Daemon::Internal
