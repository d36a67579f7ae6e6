#include "daemon/endpointworker.h"

namespace Daemon::Internal {

namespace {

constexpr size_t MaxJobs = 64;
constexpr Utils::Milliseconds IdleWait(1000);
constexpr Utils::Milliseconds ResultWait(100);

Placement::OrderEnd endOf(const Utils::Outcome<Engine::OrderReply> &answer) {
  if (answer)
    return *answer == Engine::OrderReply::Gone ? Placement::OrderEnd::Gone
                                               : Placement::OrderEnd::Taken;
  if (answer.error().Code == Utils::Errc::Unavailable)
    return Placement::OrderEnd::NotSent;
  if (answer.error().Code == Utils::Errc::UnknownResult)
    return Placement::OrderEnd::Unknown;
  return Placement::OrderEnd::Refused;
}

void logOrder(const std::string &endpoint, const EndpointJob &job,
              const Utils::Outcome<Engine::OrderReply> &answer) {
  Utils::Event("order_sent")
      .with("order", job.Kind == EndpointJobKind::Load ? "load" : "unload")
      .with("model", job.Order.Model)
      .with("endpoint", endpoint)
      .with("fence", job.Order.FencingToken)
      .with("outcome", answer ? "taken" : answer.error().What)
      .info();
}

} // namespace

EndpointWorker::EndpointWorker(std::string endpoint, Engine::EngineApi api,
                               std::function<bool()> mayAct,
                               EndpointResults &results)
    : Endpoint(std::move(endpoint)), Api(std::move(api)),
      MayAct(std::move(mayAct)), Results(results), Jobs(MaxJobs),
      Thread([this] { run(); }) {}

EndpointWorker::~EndpointWorker() {
  close();
  Thread.join();
}

bool EndpointWorker::submit(EndpointJob job) {
  return Jobs.tryPush(std::move(job));
}

void EndpointWorker::close() {
  Closing = true;
  Jobs.close();
}

void EndpointWorker::run() {
  while (true) {
    auto job = Jobs.popUntil(std::chrono::steady_clock::now() + IdleWait);
    if (!job && Closing)
      break;
    if (!job)
      continue;
    EndpointResult result = perform(std::move(*job));
    while (!Results.offerUntil(result,
                               std::chrono::steady_clock::now() + ResultWait))
      if (Results.closed())
        break;
  }
  Finished = true;
}

EndpointResult EndpointWorker::perform(EndpointJob job) {
  EndpointResult result;
  result.Endpoint = Endpoint;
  result.Job = std::move(job);
  const EndpointJob &it = result.Job;
  if (Closing)
    return result;
  if (it.Kind == EndpointJobKind::Report) {
    auto report = Api.State();
    if (!report) {
      Reports.recordFailure(report.error().What);
      return result;
    }
    Reports.recordSuccess();
    result.Report = std::move(report.value());
    return result;
  }
  if (!MayAct())
    return result;
  auto answer = it.Kind == EndpointJobKind::Load ? Api.Load(it.Order)
                                                 : Api.Unload(it.Order);
  result.End = endOf(answer);
  logOrder(Endpoint, it, answer);
  return result;
}

} // namespace Daemon::Internal
