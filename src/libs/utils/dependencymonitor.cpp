#include "utils/dependencymonitor.h"

#include "utils/event.h"

namespace Utils {

Dependency::Dependency(std::string name, Clock clock)
    : Name(std::move(name)), Time(std::move(clock)) {}

void Dependency::noteAnswer() {
  if (!LostAt)
    return;
  Event("dependency_regained")
      .with("name", Name)
      .with("lost_ms", msBetween(*LostAt, Time.Now()))
      .info();
  LostAt.reset();
}

void Dependency::noteFailure(std::string_view why) {
  if (LostAt)
    return;
  LostAt = Time.Now();
  Event("dependency_lost").with("name", Name).with("why", why).warning();
}

} // namespace Utils
