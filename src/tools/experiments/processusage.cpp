#include "experiments/processusage.h"

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace Experiments {

namespace {

constexpr double BytesPerMb = 1024.0 * 1024.0;
/// Words of /proc/PID/stat between the program's name and its user time.
constexpr int WordsBeforeTimes = 11;

} // namespace

ProcessUsage usageOf(pid_t process) {
  std::string folder = "/proc/" + std::to_string(process);
  std::string line;
  std::ifstream stat(folder + "/stat");
  std::getline(stat, line);
  std::istringstream words(line.substr(line.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < WordsBeforeTimes; ++i)
    words >> skipped;
  double user = 0;
  double system = 0;
  words >> user >> system;
  double pages = 0;
  std::ifstream(folder + "/statm") >> skipped >> pages;
  ProcessUsage usage;
  usage.CpuS = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.ResidentMb =
      pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / BytesPerMb;
  return usage;
}

double metricSum(const std::string &text, const std::string &name,
                 const std::string &label) {
  std::istringstream lines(text);
  std::string line;
  double sum = 0;
  while (std::getline(lines, line)) {
    bool named = line.rfind(name, 0) == 0 &&
                 line.find(label, name.size()) != std::string::npos;
    if (named)
      sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
  return sum;
}

} // namespace Experiments
