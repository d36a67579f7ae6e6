#ifndef DAEMON_ADMIT_H
#define DAEMON_ADMIT_H

#include "admission/admission.h"
#include "daemon/limitsduty.h"
#include "frontdoor/frontdoor.h"
#include "table/table.h"

#include <memory>
#include <variant>

namespace Daemon::Internal {

struct Context;

/// What admission needs of the rest of the daemon.
struct AdmitPorts {
  Utils::Clock Clock;
  /// Calls to the model that this daemon may run at once, at least 1.
  std::function<uint32_t(const std::string &model)> Capacity;
  /// When the model can take a call, milliseconds from now; 0 when a replica is
  /// ready, nothing when it is not known.
  std::function<std::optional<uint32_t>(const std::string &model)> ReadyInMs;
  /// Row of the team.
  std::function<Table::TeamSpec(const std::string &team)> Team;
};

/// An admitted request: its tokens and its place among the running calls, both
/// given back when the ticket is destroyed.
class Ticket {
public:
  ~Ticket();

  const std::string &requestId() const { return RequestId; }
  const std::string &team() const { return Tokens.Team; }
  const std::string &model() const { return Model; }
  Utils::TimePoint deadline() const { return Deadline; }

private:
  friend class Admit;
  friend class MeteredStream;

  class Admit *Owner = nullptr;
  std::string RequestId;
  std::string Model;
  Limits::Reservation Tokens;
  Admission::RequestCost Cost;
  Utils::TimePoint Deadline;
  /// When the request came, when it had its tokens, and when its turn.
  Utils::TimePoint Arrived;
  Utils::TimePoint Granted;
  Utils::TimePoint Started;
  uint64_t Turn = 0;
  bool Running = false;
  /// Whether a token was delivered.
  bool Delivered = false;
};

using TicketPtr = std::shared_ptr<Ticket>;

/// Decides whether and when a request to a model runs: in time, within its
/// team's rate, and in its turn. Counts what is delivered. Thread-safe.
class Admit {
public:
  Admit(AdmitPorts ports, LimitsDuty &limits, Metrics::Registry &metrics);

  /// Admits the request or refuses it, not run, with when to come back. Waits
  /// for tokens that are moments away and for the request's turn.
  std::variant<TicketPtr, FrontDoor::Refusal>
  admit(const FrontDoor::Request &request, const std::string &team,
        const std::string &model);

  /// The answer, counted against the ticket. A stream that is longer than was
  /// reserved waits for tokens, and ends as truncated when none come in time.
  FrontDoor::Answer meter(const TicketPtr &ticket, FrontDoor::Answer answer,
                          const std::string &requestId);

  /// Priority of the team, as passed to engines.
  uint32_t priorityOf(const std::string &team) const;

  /// Requests waiting for their turn.
  size_t waiting() const;

private:
  friend class Ticket;
  friend class MeteredStream;

  /// A request that waits for its turn.
  struct Turn {
    const Ticket &Waiting;
    std::condition_variable Changed;
    bool Started = false;
    /// When to come back, milliseconds, once the request is given up.
    std::optional<uint32_t> GivenUp = std::nullopt;
  };

  std::optional<FrontDoor::Refusal> takeTokens(Ticket &ticket);
  std::optional<FrontDoor::Refusal> awaitTurn(Ticket &ticket);
  Admission::LoadView viewOf(const Ticket &ticket) const;
  void startNext();
  /// Gives up the waiting requests that cannot make their deadlines any more.
  void reviewTurns();
  void finish(Ticket &ticket);
  /// Counts tokens as delivered, within what is reserved.
  void charge(Ticket &ticket, uint64_t tokens);
  FrontDoor::Answer meterWhole(const TicketPtr &ticket,
                               FrontDoor::Answer answer,
                               const std::string &requestId);
  FrontDoor::Refusal refused(FrontDoor::Reason why, const std::string &team,
                             uint32_t retryAfterMs, std::string message);
  void noteAdmitted(const Ticket &ticket,
                    const Admission::LoadView &view) const;

  AdmitPorts Ports;
  LimitsDuty &Limits;
  Metrics::Registry &Metrics;
  mutable std::mutex Mutex;
  Admission::FairQueue Queue;
  std::map<uint64_t, Turn *> Turns;
  uint64_t LastTurn = 0;
  std::map<std::string, uint32_t> Running;
  std::map<std::string, Admission::ServiceHistory> Service;
};

/// The limits duty and admission of a daemon, and the lease of the duty.
struct AdmissionDuty {
  explicit AdmissionDuty(Context &context);
  ~AdmissionDuty();

  void start();
  /// Planned stop: gives back tokens and lease, and lets a successor fetch the
  /// state if this daemon held the duty.
  void stop();

  struct Content;
  std::unique_ptr<Content> Data;
  LimitsDuty &limits();
  Admit &admission();
};

} // namespace Daemon::Internal

#endif // DAEMON_ADMIT_H
