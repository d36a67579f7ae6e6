#include "daemon/admit.h"

namespace Daemon::Internal {

namespace {

using FrontDoor::Answer;
using FrontDoor::PieceWriter;
using FrontDoor::Reason;
using FrontDoor::RunState;

constexpr int FirstErrorStatus = 400;
constexpr std::string_view TruncatedEvent =
    "data: {\"error\":{\"reason\":\"over_rate\",\"run_state\":\"ran\","
    "\"message\":\"truncated: the team's rate allows no more tokens before the "
    "deadline\"}}\n\n";

} // namespace

/// A stream on its way to the caller. Tokens of the prompt stay reserved until
/// its end, those of an event until it has been written.
class MeteredStream {
public:
  MeteredStream(Admit &owner, TicketPtr ticket)
      : Owner(owner), Held(std::move(ticket)) {}

  bool run(const std::function<bool(const PieceWriter &)> &inner,
           const PieceWriter &write) {
    bool whole = inner([&](std::string_view piece) {
      return passAll(Meter.feed(piece), write);
    });
    whole = whole && passAll(Meter.flush(), write);
    Owner.charge(*Held, promptTokens());
    return whole;
  }

private:
  uint64_t promptTokens() const {
    return Meter.promptTokens().value_or(Held->Cost.Prompt);
  }

  bool passAll(const std::vector<Admission::StreamEvent> &events,
               const PieceWriter &write) {
    for (const Admission::StreamEvent &it : events)
      if (!pass(it, write))
        return false;
    return true;
  }

  bool pass(const Admission::StreamEvent &event, const PieceWriter &write) {
    uint64_t needed = event.Tokens + promptTokens();
    if (!Owner.Limits.ensure(Held->Tokens, needed, Held->Deadline)) {
      Utils::Event("stream_cut")
          .with("id", Held->RequestId)
          .with("reason", FrontDoor::reasonName(Reason::OverRate))
          .with("message", std::to_string(needed) + " tokens needed")
          .warning();
      write(TruncatedEvent);
      return false;
    }
    bool open = write(event.Bytes);
    Owner.charge(*Held, event.Tokens);
    return open;
  }

  Admit &Owner;
  TicketPtr Held;
  Admission::StreamMeter Meter;
};

Answer Admit::meter(const TicketPtr &ticket, Answer answer,
                    const std::string &requestId) {
  if (answer.Status >= FirstErrorStatus)
    return answer;
  if (!answer.Stream)
    return meterWhole(ticket, std::move(answer), requestId);
  auto stream = std::make_shared<MeteredStream>(*this, ticket);
  answer.Stream = [stream,
                   inner = std::move(answer.Stream)](const PieceWriter &write) {
    return stream->run(inner, write);
  };
  return answer;
}

Answer Admit::meterWhole(const TicketPtr &ticket, Answer answer,
                         const std::string &requestId) {
  auto usage = Admission::usageIn(answer.Body);
  uint64_t tokens =
      usage ? usage->Prompt + usage->Generated
            : ticket->Cost.Prompt + Admission::estimateTokens(answer.Body);
  if (!Limits.ensure(ticket->Tokens, tokens, ticket->Deadline))
    return FrontDoor::refusalAnswer(
        {Reason::OverRate, RunState::Ran, 0,
         "the answer is longer than the team's rate allows"},
        requestId);
  charge(*ticket, tokens);
  return answer;
}

} // namespace Daemon::Internal
