#ifndef SUPPORT_CHILD_H
#define SUPPORT_CHILD_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace Support {

/// A process started by a test, ended by its id when the object goes.
class Child {
public:
  Child() = default;
  /// Starts the program with its output in the file.
  Child(const std::vector<std::string> &command, const std::string &outputFile);
  Child(Child &&other) noexcept;
  Child &operator=(Child &&other) noexcept;
  ~Child();

  bool running() const { return Pid > 0; }
  pid_t id() const { return Pid; }
  void signal(int number) const;
  /// Sends SIGKILL and reaps.
  void kill();
  /// Waits for the end and returns the exit code, or -1 after a signal.
  int wait();
  /// Sends SIGTERM and waits.
  int terminate();

private:
  pid_t Pid = 0;
};

/// Runs a program to its end; returns its exit code and what it printed.
struct RunResult {
  int ExitCode = -1;
  std::string Output;
};
RunResult runToEnd(const std::vector<std::string> &command);

std::string readFile(const std::string &file);

} // namespace Support

#endif // SUPPORT_CHILD_H
