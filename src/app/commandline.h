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
ABSL_DECLARE_FLAG(double, hedge_share);
ABSL_DECLARE_FLAG(bool, queue_over_limit);
ABSL_DECLARE_FLAG(bool, delete_missing);
ABSL_DECLARE_FLAG(bool, reference);

namespace App {

/// Exit codes of the program.
enum class ExitCode {
  Done = 0,
  Refused = 1,     ///< At least one edit was refused, or a check found a fault.
  Usage = 2,       ///< The command line is invalid.
  Unavailable = 3, ///< The platform or the daemon did not respond.
};

/// Positional arguments after the subcommand.
using Arguments = std::vector<std::string>;

ExitCode runServe(const Arguments &arguments);
ExitCode runGateway(const Arguments &arguments);
ExitCode runTable(const Arguments &arguments);
ExitCode runKey(const Arguments &arguments);
ExitCode runCheck(const Arguments &arguments);
ExitCode runStatus(const Arguments &arguments);
ExitCode runAudit(const Arguments &arguments);
ExitCode runExplain(const Arguments &arguments);

/// A subcommand and its help texts.
struct Command {
  const char *Name;
  const char *Usage;
  const char *Summary;
  ExitCode (*Run)(const Arguments &);
};

const std::vector<Command> &commands();

/// Prints the message and the usage of the program to standard error; returns
/// ExitCode::Usage.
ExitCode usageError(const std::string &message);

/// Help text of the command, or of the program if there is no such command.
std::string helpText(const std::string &command);

} // namespace App

#endif // APP_COMMANDLINE_H
