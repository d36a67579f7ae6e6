#ifndef REVIEW_STANDINS_RECORD_H
#define REVIEW_STANDINS_RECORD_H

#include "net.h"

#include <fstream>
#include <map>
#include <mutex>

namespace Review {

/// Writes the events of a script, one line each with the milliseconds since
/// its start, and keeps them for the check.
class Record {
public:
  struct Event {
    Clock::time_point At;
    std::string What;
    std::map<std::string, std::string> Fields;
  };

  explicit Record(const std::string &path)
      : Out(path), StartedAt(Clock::now()) {}

  void write(const std::string &what,
             std::map<std::string, std::string> fields) {
    std::lock_guard lock(Mutex);
    auto now = Clock::now();
    Out << std::chrono::duration_cast<Milliseconds>(now - StartedAt).count()
        << " ms " << what;
    for (const auto &[key, value] : fields)
      Out << ' ' << key << '=' << value;
    Out << '\n';
    List.push_back({now, what, std::move(fields)});
  }
  std::vector<Event> events() {
    std::lock_guard lock(Mutex);
    Out.flush();
    return List;
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
  Clock::time_point StartedAt;
  std::vector<Event> List;
};

} // namespace Review

#endif // REVIEW_STANDINS_RECORD_H
