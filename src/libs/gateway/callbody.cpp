#include "gateway/call.h"

#include "gateway/gatewayconstants.h"
#include "utils/utils.h"

namespace Gateway {

namespace {

constexpr std::string_view EventTerminator = "\n\n";

/// Returns the id of the last event in `events`, or an empty string if it has
/// none.
std::string lastIdIn(std::string_view events) {
  constexpr std::string_view field = "id:";
  size_t at = events.rfind("\nid:");
  at = at != std::string_view::npos                  ? at + 1
       : events.compare(0, field.size(), field) == 0 ? 0
                                                     : at;
  if (at == std::string_view::npos)
    return {};
  std::string_view value = events.substr(at + field.size());
  value = value.substr(0, value.find('\n'));
  while (!value.empty() && (value.front() == ' '))
    value.remove_prefix(1);
  while (!value.empty() && (value.back() == '\r'))
    value.remove_suffix(1);
  return std::string(value);
}

} // namespace

void Call::onBody(Attempt &attempt, std::string_view data) {
  attempt.Body += data;
  if (attempt.isAnswer() && streams() && attempt.isSuccess() && !Done)
    forwardEvents(attempt);
  if (attempt.Body.size() > MaxAnswerBytes)
    return abortOversizedAnswer(attempt);
  State.BufferedAnswers.resize(&attempt, attempt.Body.size());
}

void Call::limitBuffer(const AttemptRef &attempt) {
  State.BufferedAnswers.add(
      attempt.get(), [call = weak_from_this(), held = std::weak_ptr(attempt)] {
        auto self = call.lock();
        auto it = held.lock();
        if (self && it && it->isInFlight())
          self->abortOversizedAnswer(*it);
      });
}

/// Aborts an exchange whose answer exceeds MaxAnswerBytes, or is the largest
/// when all answers exceed MaxHeldAnswerBytes.
void Call::abortOversizedAnswer(Attempt &attempt) {
  Utils::Event("answer_too_long")
      .with("id", Metadata.Id)
      .with("endpoint", attempt.EndpointId)
      .with("bytes", attempt.Body.size())
      .warning();
  attempt.Connection->cancel();
  attempt.Body.clear();
  attempt.NotExecuted = false;
  onSendFailed(attempt, Balance::AttemptResult::ConnectionFailed);
}

/// Forwards the complete events of the buffer to the caller.
void Call::forwardEvents(Attempt &attempt) {
  // A terminator may have begun with the last byte that was scanned.
  size_t from = attempt.ScannedBytes > 0 ? attempt.ScannedBytes - 1 : 0;
  std::string_view unscanned = std::string_view(attempt.Body).substr(from);
  attempt.ScannedBytes = attempt.Body.size();
  size_t end = unscanned.rfind(EventTerminator);
  if (end == std::string::npos)
    return;
  std::string_view events = std::string_view(attempt.Body)
                                .substr(0, from + end + EventTerminator.size());
  beginStream(attempt);
  if (isAnswering(attempt))
    recordAnswer(attempt);
  Caller->streamData(events);
  attempt.EventsForwarded = true;
  if (std::string id = lastIdIn(events); !id.empty())
    LastEventId = id;
  attempt.Body.erase(0, events.size());
  attempt.ScannedBytes = attempt.Body.size();
}

} // namespace Gateway
