#include "peers/outagevector.h"
#include "peers/peersconstants.h"
#include "utils/digest.h"

namespace Peers::Internal {

namespace C = Constants;

namespace {
constexpr Utils::Milliseconds MaxAge =
    (C::OutageAgeUnknown - 1) * C::OutageAgeUnit;
} // namespace

void OutageVector::note(const std::string &name, Utils::TimePoint at) {
  Utils::TimePoint &said = Said[name];
  said = std::max(said, at);
}

std::optional<Utils::TimePoint>
OutageVector::find(const std::string &name) const {
  auto it = Said.find(name);
  if (it == Said.end())
    return std::nullopt;
  return it->second;
}

bool OutageVector::isFresh(Utils::TimePoint now) const {
  for (const auto &[name, at] : Said)
    if (now - at <= MaxAge)
      return true;
  return false;
}

std::string OutageVector::encode(const std::vector<std::string> &roster,
                                 Utils::TimePoint now) const {
  if (roster.size() > C::MaxOutageAges)
    return {};
  std::string ages;
  ages.reserve(roster.size());
  for (const std::string &name : roster) {
    auto it = Said.find(name);
    if (it == Said.end() || now - it->second > MaxAge) {
      ages.push_back(static_cast<char>(C::OutageAgeUnknown));
      continue;
    }
    auto age = std::chrono::ceil<Utils::Milliseconds>(now - it->second);
    auto units =
        (age + C::OutageAgeUnit - Utils::Milliseconds(1)) / C::OutageAgeUnit;
    ages.push_back(static_cast<char>(units));
  }
  return ages;
}

void OutageVector::merge(const std::vector<std::string> &roster,
                         std::string_view ages, Utils::TimePoint at) {
  for (size_t i = 0; i < roster.size(); ++i) {
    auto units = static_cast<uint8_t>(ages[i]);
    if (units == C::OutageAgeUnknown)
      continue;
    uint32_t ageMs = units * static_cast<uint32_t>(C::OutageAgeUnit.count());
    note(roster[i], at - slowestClock(ageMs));
  }
}

void OutageVector::forget(Utils::TimePoint now) {
  std::erase_if(Said, [&](const auto &it) { return now - it.second > MaxAge; });
}

uint64_t rosterDigest(const std::vector<std::string> &roster) {
  std::string text;
  for (const std::string &it : roster)
    text.append(it).push_back('\n');
  return Utils::fastHash(text);
}

} // namespace Peers::Internal
