#ifndef DAEMON_ENDPOINTWORKERS_H
#define DAEMON_ENDPOINTWORKERS_H

#include "daemon/context.h"
#include "daemon/endpointworker.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Daemon::Internal {

/// What the period of an engine's reports depends on.
struct ReportNeed {
  /// A replica loads or unloads there.
  bool Changing = false;
  /// Orders of this daemon have to be settled there.
  bool Sending = false;
  /// Requests there, as the load board says; nothing when it does not say.
  std::optional<uint32_t> Load;
};

/// Time between two reports of one engine.
Utils::Milliseconds reportPeriod(const ReportNeed &need, uint32_t busyRequests);

/// The workers of this daemon, one for each engine, and when each is asked for
/// its report. For one thread.
class EndpointWorkers {
public:
  /// `mayAct` is asked right before each order is sent.
  EndpointWorkers(Context &context, std::function<bool()> mayAct,
                  EndpointResults &results);

  /// Brings the workers in line with the engines of the state, and their
  /// reports' periods with what happens there.
  void follow(bool holds, uint32_t busyRequests);
  /// Asks for the reports that are due.
  void askForReports();
  /// False when the job will not be done.
  bool submit(const std::string &endpoint, EndpointJob job);
  /// Notes that a job has ended. An order may have changed the report.
  void noteEnd(const EndpointResult &result);

  void close();
  bool finished() const;
  void clear();

private:
  struct Worker {
    std::string Address;
    uint16_t Port = 0;
    std::unique_ptr<EndpointWorker> Content;
    bool ReportAsked = false;
    bool Wanted = false;
    Utils::Milliseconds Period{0};
    /// Share of the period that passes before the next report.
    double Spread = 1;
    Utils::TimePoint ReportedAt;
    /// The newest report could not be read.
    bool Silent = false;
  };

  /// Whether calls or reports fail, so that the engine is asked sooner.
  bool isSuspect(const std::string &endpoint, const Worker &worker) const;
  Worker *workerFor(const std::string &endpoint);
  void closeOld();

  Context &Shared;
  std::function<bool()> MayAct;
  EndpointResults &Results;
  std::mt19937_64 Random;
  std::map<std::string, Worker> Workers;
  std::vector<std::unique_ptr<EndpointWorker>> Closed;
};

} // namespace Daemon::Internal

#endif // DAEMON_ENDPOINTWORKERS_H
