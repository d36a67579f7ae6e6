#ifndef LOAD_LOADRUN_H
#define LOAD_LOADRUN_H

#include "load/loadplan.h"
#include "load/outcomes.h"

#include <functional>

namespace Load {

/// Requests planned, sent and answered so far.
struct Progress {
  size_t Planned = 0;
  size_t Sent = 0;
  size_t Answered = 0;
};

/// Runs the plan open-loop and returns all outcomes in order of arrival.
/// `onProgress` is called about once a second.
std::vector<Outcome>
run(const Plan &plan, const std::function<void(const Progress &)> &onProgress);

} // namespace Load

#endif // LOAD_LOADRUN_H
