#include "commandline.h"

#include "daemon/daemon.h"
#include "settings/settings.h"
#include "utils/utils.h"

#include <absl/flags/flag.h>
#include <cerrno>
#include <csignal>
#include <iostream>
#include <unistd.h>

namespace App {

namespace {

/// Blocks the signals that stop the daemon, so that sigwait() receives them.
/// Threads started later inherit the signal mask.
sigset_t blockStopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return set;
}

/// Waits until the deadline; a further stop signal ends the wait early.
void waitForSecondSignal(const sigset_t &signals, Utils::TimePoint deadline) {
  using std::chrono::duration_cast;
  while (true) {
    auto left = deadline - std::chrono::steady_clock::now();
    if (left <= left.zero())
      return;
    auto seconds = duration_cast<std::chrono::seconds>(left);
    auto nanos = duration_cast<std::chrono::nanoseconds>(left - seconds);
    timespec wait{seconds.count(), nanos.count()};
    if (sigtimedwait(&signals, nullptr, &wait) > 0 || errno == EAGAIN)
      return;
  }
}

} // namespace

ExitCode runServe(const Arguments &arguments) {
  if (!arguments.empty())
    return usageError("serve takes no argument: " + arguments.front());
  Settings::LoadResult result =
      Settings::loadSettings(absl::GetFlag(FLAGS_settings));
  for (const Settings::Fault &fault : result.Faults)
    std::cerr << Settings::faultText(fault) << '\n';
  if (!result.Faults.empty())
    return ExitCode::Refused;
  sigset_t signals = blockStopSignals();
  Utils::EventLog log(STDOUT_FILENO, result.Values.Name);
  Daemon::Process process(std::move(result.Values));
  if (Utils::Status status = process.start(); !status) {
    std::cerr << "hickoryspring: " << status.error().What << '\n';
    return ExitCode::Unavailable;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  waitForSecondSignal(signals, process.leaveBalancer());
  process.stop();
  return ExitCode::Done;
}

} // namespace App
