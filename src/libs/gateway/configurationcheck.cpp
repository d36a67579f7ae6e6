#include "gateway/configurationcheck.h"

#include "gateway/gatewayconstants.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

/// Delay before an unanswered question is repeated, doubled each time: 420
/// gateways that start at once send each that is asked 1,400 a second.
constexpr milliseconds QuestionInterval{50};
constexpr milliseconds MaxQuestionInterval{800};

} // namespace

std::string_view confirmationName(Confirmation value) {
  static constexpr std::string_view names[] = {
      "pending", "not_needed", "by_gateway", "all_starting", "no_answer"};
  return names[static_cast<size_t>(value)];
}

void ConfigurationCheck::begin(TimePoint now) {
  State = Confirmation::Pending;
  BegunAt = now;
}

void ConfigurationCheck::setGateways(std::vector<std::string> addresses,
                                     bool areAll, bool isCurrent,
                                     TimePoint now) {
  if (isConfirmed())
    return;
  bool isNew = addresses != Gateways || isCurrent != IsRecordCurrent;
  AreAll = areAll;
  IsRecordCurrent = isCurrent;
  if (!isNew)
    return;
  ListedAt = now;
  Gateways = std::move(addresses);
  QuestionDelay = QuestionInterval;
  NextQuestionAt = now;
}

void ConfigurationCheck::noteState(const std::string &address,
                                   const std::string &owner,
                                   const ConfigurationState &state,
                                   TimePoint now) {
  if (!isConfirmed())
    Answered.insert(address);
  HasConfirmed |= state.Confirmed;
  if (state.Version < NewestVersion && now < NewestUntil)
    return;
  NewestVersion = state.Version;
  NewestAddress = owner;
  NewestUntil = now + NamedVersionLifetime;
}

TimePoint ConfigurationCheck::waitUntil() const {
  TimePoint until = BegunAt + UnlistedAnswerTime;
  if (!IsRecordCurrent)
    return until;
  // Records that change all the time must not prolong the wait without end.
  return std::min(ListedAt, until) + FleetAnswerTime;
}

bool ConfigurationCheck::update(uint64_t own, TimePoint now) {
  if (isConfirmed() || lacks(own, now))
    return false;
  bool allAnswered =
      AreAll && IsRecordCurrent && !Gateways.empty() &&
      std::all_of(Gateways.begin(), Gateways.end(),
                  [&](const auto &it) { return Answered.count(it) > 0; });
  if (HasConfirmed)
    State = Confirmation::ByGateway;
  else if (allAnswered)
    State = Confirmation::AllStarting;
  else if (now >= waitUntil())
    State = Confirmation::NoAnswer;
  return isConfirmed();
}

std::vector<std::string> ConfigurationCheck::takeQuestions(TimePoint now) {
  if (isConfirmed() || now < NextQuestionAt)
    return {};
  NextQuestionAt = now + QuestionDelay;
  QuestionDelay = std::min(2 * QuestionDelay, MaxQuestionInterval);
  return Gateways;
}

TimePoint ConfigurationCheck::nextAt() const {
  if (isConfirmed())
    return TimePoint::max();
  // A version that nobody names any more ends the wait later.
  return std::min(NextQuestionAt, std::max(waitUntil(), NewestUntil));
}

} // namespace Gateway
