#ifndef GATEWAY_CALL_H
#define GATEWAY_CALL_H

#include "gateway/gateway.h"

#include <set>

namespace Gateway {

/// One request of a caller, from its arrival to the end of its answer. Keeps
/// itself alive by its callbacks.
class Call : public std::enable_shared_from_this<Call> {
public:
  Call(Shared &shared, HttpIo::ServerConnectionRef caller,
       Http::Request request);

  void start();
  /// Looks for an endpoint once more; false if the call waits no longer.
  bool keepWaiting();
  /// Gives up waiting, since the gateway leaves.
  void refuseWaiting();
  /// The limit of the call's team admits it, or not.
  void onTokensDecided(const Quota::Decision &decision);
  FleetLink::WaitingCalls waitingFor(Utils::TimePoint now) const;
  bool isDone() const { return Done; }

private:
  /// Whether the caller may use the route.
  bool admit();
  void wantTokens();
  void forgetTokens();
  void proceed();
  double tokens() const;
  bool identify();
  void dispatch();
  bool tryDispatch();
  void wait();
  bool needsModel() const;
  std::optional<std::string> pickEndpoint();
  std::vector<const Fleet::Endpoint *> ableEndpoints() const;
  bool isAble(const Fleet::Endpoint &endpoint) const;
  void send(const Fleet::Endpoint &endpoint);
  HttpIo::ResponseCallbacks responseEvents();
  HttpIo::HeadVerdict onHead(const Http::ResponseHead &head,
                             Http::Framing framing);
  void onBody(std::string_view data);
  void forwardEvents();
  void endEndless();
  void onEnd(HttpIo::ExchangeResult end);
  void completeAnswer();
  void onSendFailed(Balance::SendEnd end);
  void follow(Balance::NextStep next);
  void endUnsent(std::string_view reason,
                 std::optional<Utils::Milliseconds> comeBack);
  void onDeadline();
  void onCallerGone();
  void endSend(Balance::SendEnd end);
  void refuse(unsigned status, std::string_view reason,
              std::optional<Utils::Milliseconds> comeBack = std::nullopt);
  void finish(std::string_view outcome, unsigned status);
  void logEnd(std::string_view outcome, unsigned status);
  bool streams() const;
  void beginStream();

  Shared &State;
  HttpIo::ServerConnectionRef Caller;
  Http::Request Request;
  CallFacts Facts;
  Fleet::ConfigurationRef Configuration;
  const Fleet::Route *Route = nullptr;
  const Fleet::Team *Team = nullptr;
  std::string Service;
  Utils::TimePoint ArrivedAt;
  Utils::TimePoint Deadline;
  HttpIo::Timer DeadlineTimer;

  // The send under way.
  HttpIo::ClientConnectionRef Connection;
  std::string EndpointId;
  std::string Peer;
  Utils::TimePoint SentAt;
  Http::ResponseHead Head;
  bool HeadIsAnswer = false;
  bool NotRun = false;
  std::string Body;

  /// Events that the caller has got whole, by the id of the last.
  std::string LastEventId;
  std::set<std::string> Tried;
  // What the newest decisions on the call were made from, for its line.
  size_t Candidates = 0;
  uint32_t ChosenLoad = 0;
  /// When the first of the endpoints that rest takes calls again.
  std::optional<Utils::TimePoint> RestEnd;
  Utils::TimePoint WaitingSince{};
  Utils::Milliseconds Waited{0};
  std::optional<Utils::Milliseconds> ComeBack;
  double TokensTaken = 0;
  /// Number under which it waits for tokens; 0 if it does not.
  uint64_t TokenNumber = 0;
  uint32_t Sends = 0;
  uint32_t RunsBegun = 0;
  bool AnswerBegun = false;
  bool Done = false;
};

} // namespace Gateway

#endif // GATEWAY_CALL_H
