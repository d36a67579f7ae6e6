#ifndef APP_COMMANDLINE_H
#define APP_COMMANDLINE_H

#include <absl/flags/declare.h>
#include <string>
#include <vector>

ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(std::string, table);
ABSL_DECLARE_FLAG(std::string, actor);
ABSL_DECLARE_FLAG(std::string, admin);
ABSL_DECLARE_FLAG(std::string, id);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(uint16_t, metrics_port);
ABSL_DECLARE_FLAG(bool, delete_missing);
ABSL_DECLARE_FLAG(bool, reference);

namespace App {

/// Exit codes of the program.
enum class ExitCode {
  Done = 0,
  Refused = 1,     ///< At least one edit was refused, or a check found a fault.
  Usage = 2,       ///< The command line is wrong.
  Unavailable = 3, ///< The platform or the daemon did not answer.
};

/// Words of the command line after the subcommand.
using Words = std::vector<std::string>;

ExitCode runServe(const Words &words);
ExitCode runGateway(const Words &words);
ExitCode runTable(const Words &words);
ExitCode runKey(const Words &words);
ExitCode runCheck(const Words &words);
ExitCode runStatus(const Words &words);
ExitCode runAudit(const Words &words);
ExitCode runExplain(const Words &words);

struct Command {
  const char *Name;
  const char *Usage;
  const char *Summary;
  ExitCode (*Run)(const Words &);
};

const std::vector<Command> &commands();

/// Prints the usage of the command, or of the program, to standard error.
ExitCode usageError(const std::string &what);

/// Help text of one command, or of the program when there is no such command.
std::string helpText(const std::string &command);

} // namespace App

#endif // APP_COMMANDLINE_H
