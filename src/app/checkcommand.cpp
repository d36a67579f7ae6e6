#include "commandline.h"

#include "settings/settings.h"
#include "table/table.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace App {

namespace {

/// Checks the sheet as if it were the complete table; prints every fault and
/// returns their number.
size_t checkSheet(const std::string &file) {
  std::ifstream in(file);
  if (!in) {
    std::cout << file << ": found nothing readable, allowed is a file\n";
    return 1;
  }
  std::ostringstream text;
  text << in.rdbuf();
  Table::Sheet sheet = Table::parseSheet(text.str());
  std::vector<Table::SheetFault> faults = sheet.Faults;
  auto crossRowFaults = Table::crossFaults(sheet, {});
  faults.insert(faults.end(), crossRowFaults.begin(), crossRowFaults.end());
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const auto &a, const auto &b) { return a.Line < b.Line; });
  for (const Table::SheetFault &it : faults)
    std::cout << Table::faultText(file, it) << '\n';
  return faults.size();
}

} // namespace

ExitCode runCheck(const Arguments &arguments) {
  if (!arguments.empty())
    return usageError("check takes no argument: " + arguments.front());
  if (absl::GetFlag(FLAGS_reference)) {
    std::cout << Settings::describeRules() << '\n' << Table::describeSchema();
    return ExitCode::Done;
  }
  size_t n = 0;
  Settings::LoadResult result =
      Settings::loadSettings(absl::GetFlag(FLAGS_settings));
  for (const Settings::Fault &fault : result.Faults)
    std::cout << Settings::faultText(fault) << '\n';
  n += result.Faults.size();
  if (std::string file = absl::GetFlag(FLAGS_table); !file.empty())
    n += checkSheet(file);
  std::cout << n << " faults\n";
  return n == 0 ? ExitCode::Done : ExitCode::Refused;
}

} // namespace App
