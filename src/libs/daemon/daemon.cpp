#include "daemon/daemon.h"
#include "daemon/admit.h"
#include "daemon/context.h"
#include "daemon/loadwatch.h"
#include "daemon/memberrecord.h"
#include "daemon/modelcalls.h"
#include "daemon/peerduty.h"
#include "daemon/placementduty.h"
#include "daemon/servicecalls.h"
#include "daemon/snapshotduty.h"
#include "daemon/statusreport.h"
#include "platform/platform.h"

#include <httplib.h>

namespace Daemon {

namespace {

using FrontDoor::Answer;
using FrontDoor::Request;

constexpr char PlainText[] = "text/plain; version=0.0.4";
constexpr int HttpUnavailable = 503;

} // namespace

struct Process::Content {
  Internal::Context Shared;
  std::unique_ptr<Internal::ModelCalls> Models;
  std::unique_ptr<Internal::ServiceCalls> Services;
  std::unique_ptr<Internal::PlacementDuty> Placement;
  std::unique_ptr<Internal::SnapshotDuty> Snapshot;
  std::unique_ptr<Internal::PeerDuty> Membership;
  std::unique_ptr<Internal::LoadWatch> Loads;
  std::unique_ptr<FrontDoor::Server> Door;
  httplib::Server Admin;
  std::thread AdminThread;
  std::atomic<bool> Leaving = false;
  std::atomic<bool> Stopped = false;

  Answer answer(const Request &request);
  Answer route(const Request &request);
  Answer readiness();
  void noteAnswer(const Request &request, const Answer &answer,
                  Utils::TimePoint begin);
  void noteStreamEnd(const std::string &id, Answer &answer,
                     Utils::TimePoint begin);
  bool startAdmin();
};

Answer Process::Content::readiness() {
  Answer answer;
  bool ready = !Leaving && Shared.Follower->caughtUp() &&
               Internal::currencyOf(Shared) != Internal::Currency::NotCurrent;
  answer.Status = ready ? 200 : HttpUnavailable;
  answer.Body = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n";
  return answer;
}

Answer Process::Content::route(const Request &request) {
  if (request.Path == "/healthz") {
    Answer answer;
    answer.Body = "{\"ok\":true}\n";
    return answer;
  }
  if (request.Path == "/readyz")
    return readiness();
  if (request.Path == "/metrics") {
    Answer answer;
    answer.ContentType = PlainText;
    answer.Body = Shared.Metrics.text();
    return answer;
  }
  if (!Services->isOpen(request.Path))
    if (auto refusal = Internal::refuseUnlessCurrent(Shared))
      return FrontDoor::refusalAnswer(*refusal, request.Id);
  if (request.Path == "/v1/models" && request.Method == "GET")
    return Models->listModels(request);
  if ((request.Path == "/v1/completions" ||
       request.Path == "/v1/chat/completions") &&
      request.Method == "POST")
    return Models->complete(request);
  return Services->call(request);
}

Answer Process::Content::answer(const Request &request) {
  Utils::TimePoint begin = Shared.Clock.Now();
  Answer answer = route(request);
  if (FrontDoor::isProbe(request.Path))
    return answer;
  std::chrono::duration<double> spent = Shared.Clock.Now() - begin;
  std::string labels = "status=\"" + std::to_string(answer.Status) + "\"";
  Shared.Metrics.add("hickory_requests_total", labels);
  Shared.Metrics.observe("hickory_first_byte_seconds", spent.count());
  noteAnswer(request, answer, begin);
  if (answer.Stream)
    noteStreamEnd(request.Id, answer, begin);
  return answer;
}

/// The outcome of a request, with the version and age of the state that
/// decided it.
void Process::Content::noteAnswer(const Request &request, const Answer &answer,
                                  Utils::TimePoint begin) {
  Utils::TimePoint now = Shared.Clock.Now();
  uint64_t offset = Shared.Store.read(
      [](const History::State &state) { return state.NextOffset; });
  Utils::Event event("request");
  event.with("id", request.Id)
      .with("method", request.Method)
      .with("path", request.Path)
      .with("status", answer.Status)
      .with("ms", Utils::msBetween(begin, now))
      .with("left_ms", Utils::msBetween(now, request.Deadline))
      .with("log_offset", offset)
      .with("log_silent_ms",
            Utils::msBetween(Shared.Follower->lastContact(), now));
  std::string_view outcome =
      answer.Refused ? FrontDoor::reasonName(answer.Refused->Why) : "answered";
  Shared.Metrics.add("hickory_answers_total",
                     "outcome=\"" + std::string(outcome) + "\"");
  if (!answer.Refused) {
    event.info();
    return;
  }
  event.with("reason", FrontDoor::reasonName(answer.Refused->Why))
      .with("run_state", FrontDoor::runStateName(answer.Refused->Ran))
      .with("retry_after_ms", answer.Refused->RetryAfterMs)
      .with("message", answer.Refused->Message)
      .warning();
}

/// Logs the end of a stream, whose outcome is known long after its head.
void Process::Content::noteStreamEnd(const std::string &id, Answer &answer,
                                     Utils::TimePoint begin) {
  auto inner = std::move(answer.Stream);
  answer.Stream = [this, id, begin, inner = std::move(inner)](
                      const FrontDoor::PieceWriter &write) {
    size_t bytes = 0;
    bool callerLeft = false;
    bool whole = inner([&](std::string_view piece) {
      bytes += piece.size();
      callerLeft = !write(piece);
      return !callerLeft;
    });
    Utils::Event event("stream_ended");
    event.with("id", id)
        .with("whole", whole)
        .with("caller_left", callerLeft)
        .with("bytes", bytes)
        .with("ms", Utils::msBetween(begin, Shared.Clock.Now()));
    whole ? event.info() : event.warning();
    std::string_view end = whole ? "whole" : callerLeft ? "caller_left" : "cut";
    Shared.Metrics.add("hickory_streams_ended_total",
                       "end=\"" + std::string(end) + "\"");
    return whole;
  };
}

bool Process::Content::startAdmin() {
  Admin.Get("/status",
            [this](const httplib::Request &, httplib::Response &out) {
              out.set_content(Internal::statusJson(Shared), "application/json");
            });
  auto serveAudit = [this](const char *path, Internal::AuditTrail trail) {
    Admin.Get(path, [this, trail](const httplib::Request &,
                                  httplib::Response &out) {
      out.set_content(Internal::auditJson(Shared, trail), "application/json");
    });
  };
  serveAudit("/audit", Internal::AuditTrail::Changes);
  serveAudit("/audit/orders", Internal::AuditTrail::Orders);
  Admin.Get("/metrics",
            [this](const httplib::Request &, httplib::Response &out) {
              out.set_content(Shared.Metrics.text(), PlainText);
            });
  Admin.set_socket_options([](socket_t socket) {
    int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  Admin.new_task_queue = [] { return new httplib::ThreadPool(2); };
  if (!Admin.bind_to_port(Shared.Settings.ListenAddress.c_str(),
                          Shared.Settings.AdminPort))
    return false;
  AdminThread = std::thread([this] { Admin.listen_after_bind(); });
  Utils::yieldUntil([this] { return Admin.is_running(); });
  return true;
}

Process::Process(Settings::DaemonSettings settings)
    : Data(std::make_unique<Content>()) {
  Internal::Context &shared = Data->Shared;
  shared.Settings = std::move(settings);
  const Settings::DaemonSettings &s = shared.Settings;
  shared.Log = Platform::makeHttpLog(s.Log.Host, s.Log.Port);
  shared.Vms = Platform::makeHttpVmList(s.VmList.Host, s.VmList.Port);
  shared.Weights =
      Platform::makeHttpWeightStore(s.WeightStore.Host, s.WeightStore.Port);
  Internal::connectPeers(shared);
  shared.Follower = std::make_unique<LogSync::Follower>(
      shared.PeerReads->service(), shared.Store, shared.Clock);
  shared.Appender = std::make_unique<LogSync::Appender>(
      shared.Log, shared.Store, shared.Clock);
  shared.Upstream = std::make_unique<Internal::UpstreamPool>(s.HttpThreads);
  shared.Admission = std::make_shared<Internal::AdmissionDuty>(shared);
  Data->Models = std::make_unique<Internal::ModelCalls>(shared);
  Data->Services = std::make_unique<Internal::ServiceCalls>(shared);
  Data->Placement = std::make_unique<Internal::PlacementDuty>(shared);
  Data->Snapshot = std::make_unique<Internal::SnapshotDuty>(shared);
  Data->Membership = std::make_unique<Internal::PeerDuty>(shared);
  Data->Loads = std::make_unique<Internal::LoadWatch>(shared);
  FrontDoor::Options options{s.ListenAddress,     s.HttpPort,
                             s.HttpThreads,       s.MaxBodyBytes,
                             s.DefaultDeadlineMs, s.MaxDeadlineMs};
  Data->Door = std::make_unique<FrontDoor::Server>(
      options, [content = Data.get()](const Request &request) {
        return content->answer(request);
      });
}

Process::~Process() { stop(); }

Utils::Status Process::start() {
  if (Utils::Status status = Data->Shared.Node->start(); !status)
    return status;
  Data->Shared.Follower->start();
  Data->Shared.Appender->start();
  if (!Data->startAdmin())
    return Utils::failure(Utils::Errc::Unavailable,
                          "daemon.admin_port cannot be bound");
  if (!Data->Door->start())
    return Utils::failure(Utils::Errc::Unavailable,
                          "daemon.http_port cannot be bound");
  Internal::recordJoined(Data->Shared);
  Data->Placement->start();
  Data->Shared.Admission->start();
  Data->Shared.Keys.start();
  Data->Snapshot->start();
  Data->Membership->start();
  Data->Loads->start();
  Utils::Event("started").info();
  return Utils::success();
}

Utils::TimePoint Process::leaveBalancer() {
  Internal::Context &shared = Data->Shared;
  if (!Data->Leaving.exchange(true))
    Utils::Event("leaving_balancer").info();
  return shared.Clock.Now() +
         Utils::Milliseconds(shared.Settings.LeaveBalancerMs);
}

void Process::stop() {
  if (Data->Stopped.exchange(true))
    return;
  Internal::Context &shared = Data->Shared;
  Data->Leaving = true;
  Utils::Event("stopping").info();
  Data->Door->drain();
  bool idle = Data->Door->waitIdle(
      shared.Clock.Now() + Utils::Milliseconds(shared.Settings.DrainMs));
  if (!idle)
    Utils::Event("drain_incomplete")
        .with("running", Data->Door->running())
        .warning();
  shared.Admission->stop();
  Data->Placement->stop();
  Data->Snapshot->stop();
  Data->Loads->stop();
  Data->Membership->stop();
  Data->Door->stop();
  shared.Node->stop();
  shared.Keys.stop();
  shared.Upstream->stop();
  shared.Appender->stop();
  shared.Store.close();
  shared.PeerReads->stop();
  shared.Follower->stop();
  Data->Admin.stop();
  if (Data->AdminThread.joinable())
    Data->AdminThread.join();
  Utils::Event("stopped").info();
}

} // namespace Daemon
