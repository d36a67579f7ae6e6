#include "commandline.h"

#include "gateway/gateway.h"
#include "platform/callheaders.h"
#include "platform/engineclient.h"
#include "platform/storeclient.h"
#include "platform/systemsettings.h"
#include "utils/utils.h"

#include <absl/flags/flag.h>
#include <asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace App {

ExitCode runGateway(const Arguments &arguments) {
  if (!arguments.empty())
    return usageError("gateway takes no argument: " + arguments.front());
  double hedgeShare = absl::GetFlag(FLAGS_hedge_share);
  // Written so that it also refuses what is not a number.
  if (!(hedgeShare >= 0 && hedgeShare <= Balance::MaxHedgeShare))
    return usageError("--hedge_share must lie between 0 and 0.2");
  const char *path = std::getenv(Platform::SettingsVariable);
  if (!path)
    return usageError("the environment variable HICKORYSPRING_CONFIG is not "
                      "set; it names the settings file");
  auto settings = Platform::readSettings(path);
  if (!settings) {
    std::cerr << "hickoryspring: " << settings.error().What << '\n';
    return ExitCode::Refused;
  }
  settings.value().MetricsPort = absl::GetFlag(FLAGS_metrics_port);
  settings.value().HedgeShare = hedgeShare;
  settings.value().QueueOverLimit = absl::GetFlag(FLAGS_queue_over_limit);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  Utils::EventLog log(STDOUT_FILENO, settings->VmName);
  constexpr int loopThreads = 1;
  asio::io_context loop(loopThreads);
  HttpIo::ClientPool storeConnections(loop);
  HttpIo::ClientPool engineConnections(loop);
  Gateway::PlatformClients clients{
      Platform::makeCallWire(),
      Platform::makeStoreClient(storeConnections, loop, settings->StoreAddress,
                                Platform::hasSeveralRegions(*settings)),
      Platform::makeEngineClient(engineConnections, loop)};
  Gateway::Process process(loop, std::move(settings.value()),
                           std::move(clients));
  if (Utils::Status status = process.start(); !status) {
    std::cerr << "hickoryspring: " << status.error().What << '\n';
    return ExitCode::Unavailable;
  }
  loop.run();
  return ExitCode::Done;
}

} // namespace App
