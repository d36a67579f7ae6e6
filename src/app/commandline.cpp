#include "commandline.h"

#include <absl/flags/flag.h>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings file of a daemon");
ABSL_FLAG(std::string, table, "", "CSV sheet to check");
ABSL_FLAG(std::string, actor, "",
          "author of the edit; the login name if empty");
ABSL_FLAG(std::string, admin, "", "admin address IP:PORT of a daemon");
ABSL_FLAG(std::string, id, "", "explain: id of the request");
ABSL_FLAG(uint16_t, metrics_port, 9464,
          "gateway: metrics port on the VM's address; 0 disables it");
ABSL_FLAG(
    double, hedge_share, 0,
    "gateway: second copies of slow calls, as a share of all first sends, "
    "0 to 0.2; 0 sends none");
ABSL_FLAG(bool, queue_over_limit, false,
          "gateway: give calls over their team's limit a reservation in a "
          "virtual queue");
ABSL_FLAG(bool, json, false, "print machine-readable JSON");
ABSL_FLAG(bool, delete_missing, false,
          "import: delete rows that the sheet leaves out");
ABSL_FLAG(bool, reference, false,
          "check: print the reference of settings and table columns");

namespace App {

const std::vector<Command> &commands() {
  static const std::vector<Command> table = {
      {"serve", "serve --settings FILE", "run a daemon", runServe},
      {"gateway",
       "gateway [--metrics_port N] [--hedge_share SHARE] "
       "[--queue_over_limit]",
       "run a gateway on a VM of the platform, with the settings file that "
       "HICKORYSPRING_CONFIG names",
       runGateway},
      {"table",
       "table show [KIND]|export|import FILE|edit KIND NAME COLUMN=VALUE...|"
       "delete KIND NAME|history [KIND NAME] --settings FILE",
       "read and edit the table", runTable},
      {"key", "key new | key hash < KEY", "make a key and its hash", runKey},
      {"check", "check --settings FILE [--table FILE] | check --reference",
       "find every fault in settings and sheet", runCheck},
      {"status", "status --admin IP:PORT [--json]", "current state of a daemon",
       runStatus},
      {"audit", "audit [orders] --admin IP:PORT [--json]",
       "who changed what, accepted or refused", runAudit},
      {"explain", "explain --id ID [LOG...]",
       "the lines of one request in the daemons' logs, or standard input, and "
       "the cause of its outcome",
       runExplain},
  };
  return table;
}

std::string helpText(const std::string &command) {
  std::string text;
  for (const Command &it : commands())
    if (command.empty() || command == it.Name)
      text += std::string("  hickoryspring ") + it.Usage + "\n      " +
              it.Summary + "\n";
  if (text.empty())
    return helpText("");
  return "usage:\n" + text +
         "flags: --settings --table --actor --admin --id --json "
         "--metrics_port --hedge_share --queue_over_limit "
         "--delete_missing "
         "--reference\n"
         "exit codes: 0 done, 1 refused or faulty, 2 wrong usage, 3 no "
         "answer\n";
}

ExitCode usageError(const std::string &message) {
  std::cerr << "hickoryspring: " << message << '\n' << helpText("");
  return ExitCode::Usage;
}

} // namespace App
