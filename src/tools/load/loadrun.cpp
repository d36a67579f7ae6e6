#include "load/loadrun.h"

#include "utils/blockingqueue.h"

#include <atomic>
#include <httplib.h>
#include <thread>

namespace Load {

namespace {

using Clock = std::chrono::steady_clock;

constexpr uint32_t AnswerMarginMs = 5000;
constexpr size_t RingPerWorker = 64;
constexpr std::chrono::seconds ProgressPeriod(1);
constexpr int StatusUnsent = -1;
constexpr int HttpOk = 200;

double secondsSince(Clock::time_point begin) {
  return std::chrono::duration<double>(Clock::now() - begin).count();
}

std::string bodyOf(const TeamLoad &team, const Arrival &arrival) {
  std::string text =
      "request " + std::to_string(arrival.Number) + " of " + team.Name;
  if (team.Kind != CallKind::Model)
    return Json{{"note", text}}.dump();
  return Json{{"model", arrival.Model},
              {"prompt", text},
              {"max_tokens", team.MaxTokens},
              {"stream", team.Stream}}
      .dump();
}

httplib::Request requestOf(const Plan &plan, const TeamLoad &team,
                           const Arrival &arrival) {
  httplib::Request request;
  request.method = "POST";
  request.path = team.Kind == CallKind::Model ? "/v1/completions" : team.Path;
  request.body = bodyOf(team, arrival);
  request.set_header("Content-Type", "application/json");
  request.set_header("X-Deadline-Ms", std::to_string(team.DeadlineMs));
  if (!team.Key.empty())
    request.set_header("Authorization", "Bearer " + team.Key);
  if (team.Kind == CallKind::Order)
    request.set_header("Idempotency-Key", "load-" + std::to_string(plan.Seed) +
                                              "-" +
                                              std::to_string(arrival.Number));
  return request;
}

/// Counts the events of a stream as they come.
struct StreamCount {
  uint64_t Events = 0;
  double FirstS = 0;
  double LastS = 0;
  bool Done = false;
  std::string Rest;

  void feed(std::string_view bytes, double nowS, Outcome &outcome) {
    Rest += bytes;
    uint32_t fresh = 0;
    for (size_t end = Rest.find("\n\n"); end != std::string::npos;
         end = Rest.find("\n\n")) {
      std::string event = Rest.substr(0, end);
      Rest.erase(0, end + 2);
      if (event == "data: [DONE]")
        Done = true;
      else if (event.find("\"usage\"") == std::string::npos)
        ++fresh;
    }
    if (fresh == 0)
      return;
    FirstS = Events == 0 ? nowS : FirstS;
    LastS = nowS;
    Events += fresh;
    outcome.TokenTimes.emplace_back(nowS, fresh);
  }
};

void readWhole(const std::string &body, double nowS, Outcome &outcome) {
  Json parsed = Json::parse(body, nullptr, false);
  if (!parsed.is_object())
    return;
  if (auto usage = parsed.find("usage"); usage != parsed.end()) {
    outcome.Tokens = usage->value("completion_tokens", uint64_t{0});
    outcome.TokenTimes.emplace_back(nowS, outcome.Tokens);
  }
  if (auto error = parsed.find("error");
      error != parsed.end() && error->is_object()) {
    outcome.Reason = error->value("reason", std::string());
    outcome.RunState = error->value("run_state", std::string());
  }
}

class Runner {
public:
  Runner(const Plan &plan)
      : Planned(plan), Arrivals(drawArrivals(plan)), Outcomes(Arrivals.size()),
        Ring(plan.Workers * RingPerWorker) {}

  std::vector<Outcome>
  run(const std::function<void(const Progress &)> &onProgress) {
    Begin = Clock::now();
    std::vector<std::thread> workers;
    for (uint32_t i = 0; i < Planned.Workers; ++i)
      workers.emplace_back([this] { work(); });
    std::thread faults([this] { applyFaults(); });
    dispatch(onProgress);
    Ring.close();
    for (std::thread &it : workers)
      it.join();
    faults.join();
    onProgress({Arrivals.size(), Sent, Answered});
    return std::move(Outcomes);
  }

private:
  void dispatch(const std::function<void(const Progress &)> &onProgress) {
    auto nextReport = Begin + ProgressPeriod;
    for (size_t i = 0; i < Arrivals.size(); ++i) {
      std::this_thread::sleep_until(
          Begin + std::chrono::duration_cast<Clock::duration>(
                      std::chrono::duration<double>(Arrivals[i].AtS)));
      describe(i);
      if (Ring.tryPush(size_t(i)))
        ++Sent;
      else
        Outcomes[i].Status = StatusUnsent;
      if (Clock::now() < nextReport)
        continue;
      onProgress({Arrivals.size(), Sent, Answered});
      nextReport += ProgressPeriod;
    }
  }

  void describe(size_t i) {
    Outcomes[i].AtS = Arrivals[i].AtS;
    Outcomes[i].Team = Planned.Teams[Arrivals[i].Team].Name;
    Outcomes[i].Model = Arrivals[i].Model;
  }

  void work() {
    std::map<size_t, std::unique_ptr<httplib::Client>> clients;
    while (true) {
      auto index = Ring.popUntil(Clock::now() + ProgressPeriod);
      if (!index && Ring.closed())
        return;
      if (!index)
        continue;
      const Arrival &arrival = Arrivals[*index];
      auto &client = clients[arrival.Target];
      if (!client) {
        client = std::make_unique<httplib::Client>(
            "http://" + Planned.Targets[arrival.Target]);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
      }
      call(*client, arrival, Outcomes[*index]);
      ++Answered;
    }
  }

  void call(httplib::Client &client, const Arrival &arrival, Outcome &outcome) {
    const TeamLoad &team = Planned.Teams[arrival.Team];
    client.set_read_timeout(
        std::chrono::milliseconds(team.DeadlineMs + AnswerMarginMs));
    httplib::Request request = requestOf(Planned, team, arrival);
    StreamCount stream;
    std::string body;
    bool events = false;
    request.response_handler = [&](const httplib::Response &response) {
      outcome.Status = response.status;
      events = response.get_header_value("Content-Type")
                   .compare(0, 17, "text/event-stream") == 0;
      return true;
    };
    request.content_receiver = [&](const char *data, size_t n, uint64_t,
                                   uint64_t) {
      double nowS = secondsSince(Begin);
      if (outcome.FirstMs == 0)
        outcome.FirstMs = (nowS - arrival.AtS) * 1e3;
      if (events)
        stream.feed({data, n}, nowS, outcome);
      else
        body.append(data, n);
      return true;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    bool whole = client.send(request, response, error);
    double nowS = secondsSince(Begin);
    outcome.TotalMs = (nowS - arrival.AtS) * 1e3;
    outcome.Whole = whole && (!events || stream.Done);
    if (!whole && error != httplib::Error::Success && outcome.Status == HttpOk)
      outcome.Reason = "truncated";
    if (!events)
      return readWhole(body, nowS, outcome);
    outcome.Tokens = stream.Events;
    if (stream.Events > 1)
      outcome.TokenGapMs = (stream.LastS - stream.FirstS) * 1e3 /
                           static_cast<double>(stream.Events - 1);
  }

  void applyFaults() {
    for (const FaultStep &step : Planned.Faults) {
      std::this_thread::sleep_until(
          Begin + std::chrono::duration_cast<Clock::duration>(
                      std::chrono::duration<double>(step.AtS)));
      httplib::Client client("http://" + step.Address);
      client.Post("/control", step.Body.dump(), "application/json");
    }
  }

  const Plan &Planned;
  std::vector<Arrival> Arrivals;
  std::vector<Outcome> Outcomes;
  Utils::BlockingQueue<size_t> Ring;
  Clock::time_point Begin;
  std::atomic<size_t> Sent = 0;
  std::atomic<size_t> Answered = 0;
};

} // namespace

std::vector<Outcome>
run(const Plan &plan, const std::function<void(const Progress &)> &onProgress) {
  return Runner(plan).run(onProgress);
}

} // namespace Load
