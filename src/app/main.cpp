#include "commandline.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <algorithm>
#include <glog/logging.h>
#include <iostream>

namespace {

/// Prints the help of the subcommand named before or after `--help`.
bool wantsHelp(const std::vector<std::string> &words) {
  return std::find(words.begin(), words.end(), "--help") != words.end();
}

std::string firstWord(const std::vector<std::string> &words) {
  auto it = std::find_if(words.begin(), words.end(), [](const std::string &w) {
    return w.compare(0, 1, "-") != 0;
  });
  return it == words.end() ? "" : *it;
}

} // namespace

int main(int argc, char **argv) {
  std::vector<std::string> raw(argv + 1, argv + argc);
  if (wantsHelp(raw)) {
    std::cout << App::helpText(firstWord(raw));
    return 0;
  }
  absl::FlagsUsageConfig config;
  config.version_string = [] { return std::string("hickoryspring 0.1.0\n"); };
  absl::SetFlagsUsageConfig(config);
  absl::SetProgramUsageMessage(App::helpText(""));
  std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(argv[0]);

  App::Words words(rest.begin() + 1, rest.end());
  if (words.empty())
    return static_cast<int>(App::usageError("a command is missing"));
  std::string name = words.front();
  words.erase(words.begin());
  for (const App::Command &it : App::commands())
    if (name == it.Name)
      return static_cast<int>(it.Run(words));
  return static_cast<int>(App::usageError("no command " + name));
}
