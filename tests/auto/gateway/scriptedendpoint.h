#ifndef TESTS_SCRIPTEDENDPOINT_H
#define TESTS_SCRIPTEDENDPOINT_H

#include "httpio/httpio.h"
#include "utils/utils.h"

#include <asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Returns the address as IP:PORT.
std::string textOf(const HttpIo::Tcp::endpoint &endpoint);

/// Response of a scripted endpoint to one request.
struct Script {
  /// Sent verbatim; @ID@ is replaced by the id of the request.
  std::string Text;
  enum class Action { Keep, Close, Reset, Repeat } AfterSend = Action::Keep;
  /// Sent repeatedly until the gateway closes the connection, if AfterSend is
  /// Repeat.
  std::string RepeatedText{};
  /// Delay before each repetition or part.
  std::chrono::milliseconds Delay{0};
  /// If not empty, sent one after the other in place of RepeatedText, and then
  /// nothing more.
  std::deque<std::string> Parts{};
  /// Late copy of an answer: sent before the next answer on any connection of
  /// the endpoint that has carried a request before.
  std::string LateCopy{};
};

/// An endpoint on a loopback port. It answers each request with the next entry
/// of `scripts`, does not answer when there is none, and records the requests.
class ScriptedEndpoint {
public:
  ScriptedEndpoint(asio::io_context &loop, std::deque<Script> &scripts);

  std::string address() const;
  std::vector<Http::Request> Requests;
  /// Resets all its connections.
  void resetAll();
  /// Sends the text on all its open connections.
  void sendToAll(const std::string &text);
  /// If not empty: a request whose target or headers contain this text crashes
  /// the endpoint before it answers.
  std::string CrashingText;
  /// Time that it takes to start again after a crash.
  std::chrono::milliseconds RestartTime{100};
  int Crashes = 0;
  /// Header fields that each scripted answer gets in addition.
  std::string AnswerFields;
  /// If set, decides the response to each request in place of the scripts.
  std::function<Script(const Http::Request &)> Respond;
  std::vector<Utils::TimePoint> ArrivalTimes;
  bool isDown() const { return IsDown; }
  /// Number of connections that the gateway has closed.
  int Ended = 0;
  int Accepted = 0;
  /// Bytes sent by repetition.
  size_t RepeatedBytes = 0;

private:
  struct Peer;
  std::vector<std::weak_ptr<Peer>> Peers;
  void accept();
  void crash();
  void read(const std::shared_ptr<Peer> &peer);
  void play(const std::shared_ptr<Peer> &peer, const Http::Request &request);
  void repeat(const std::shared_ptr<Peer> &peer, const Script &script);
  std::optional<Script> nextScript(const Http::Request &request);

  /// Late copies that are still to be sent.
  std::string Copies;
  std::deque<Script> &Scripts;
  bool IsDown = false;
  HttpIo::Tcp::acceptor Acceptor;
  HttpIo::Tcp::endpoint Address;
};

/// Builds a signed answer of an endpoint.
std::string answer(unsigned status, const std::string &body,
                   const std::string &headers = "");

#endif // TESTS_SCRIPTEDENDPOINT_H
