#include "commandline.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <algorithm>
#include <glog/logging.h>
#include <iostream>

namespace {

/// Whether `--help` is among the arguments, before or after the subcommand.
bool hasHelpFlag(const std::vector<std::string> &args) {
  return std::find(args.begin(), args.end(), "--help") != args.end();
}

/// First argument that is not a flag; empty if there is none.
std::string firstNonFlag(const std::vector<std::string> &args) {
  auto it = std::find_if(args.begin(), args.end(), [](const std::string &arg) {
    return arg.compare(0, 1, "-") != 0;
  });
  return it == args.end() ? "" : *it;
}

} // namespace

int main(int argc, char **argv) {
  std::vector<std::string> allArguments(argv + 1, argv + argc);
  if (hasHelpFlag(allArguments)) {
    std::cout << App::helpText(firstNonFlag(allArguments));
    return 0;
  }
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("hickoryspring 0.1.0\n"); };
  absl::SetFlagsUsageConfig(config);
  absl::SetProgramUsageMessage(App::helpText(""));
  std::vector<char *> positional = absl::ParseCommandLine(argc, argv);
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(argv[0]);

  App::Arguments arguments(positional.begin() + 1, positional.end());
  if (arguments.empty())
    return static_cast<int>(App::usageError("no command is given"));
  std::string name = arguments.front();
  arguments.erase(arguments.begin());
  for (const App::Command &it : App::commands())
    if (name == it.Name)
      return static_cast<int>(it.Run(arguments));
  return static_cast<int>(App::usageError("unknown command " + name));
}
