#include "utils/dependencymonitor.h"

#include "utils/event.h"

namespace Utils {

DependencyMonitor::DependencyMonitor(std::string name, Clock clock)
    : Name(std::move(name)), Time(std::move(clock)) {}

void DependencyMonitor::recordSuccess() {
  if (!LostAt)
    return;
  Event("dependency_regained")
      .with("name", Name)
      .with("lost_ms", msBetween(*LostAt, Time.Now()))
      .info();
  LostAt.reset();
}

void DependencyMonitor::recordFailure(std::string_view reason) {
  if (LostAt)
    return;
  LostAt = Time.Now();
  Event("dependency_lost").with("name", Name).with("why", reason).warning();
}

} // namespace Utils
