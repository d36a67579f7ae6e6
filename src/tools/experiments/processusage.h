#ifndef EXPERIMENTS_PROCESSUSAGE_H
#define EXPERIMENTS_PROCESSUSAGE_H

#include <string>
#include <sys/types.h>

namespace Experiments {

/// What the kernel says of a process.
struct ProcessUsage {
  double CpuS = 0;
  double ResidentMb = 0;
};

ProcessUsage usageOf(pid_t process);

/// Sum of the values of a metric in Prometheus text whose labels contain the
/// text.
double metricSum(const std::string &text, const std::string &name,
                 const std::string &label);

} // namespace Experiments

#endif // EXPERIMENTS_PROCESSUSAGE_H
