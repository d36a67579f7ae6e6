#ifndef SUPPORT_CHILD_H
#define SUPPORT_CHILD_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace Support {

/// A child process of a test; the destructor kills and reaps it.
class Child {
public:
  Child() = default;
  /// Starts the program and appends its stdout and stderr to the file. Its
  /// environment is that of the test with these NAME=VALUE variables added.
  Child(const std::vector<std::string> &command, const std::string &outputFile,
        const std::vector<std::string> &variables = {});
  Child(Child &&other) noexcept;
  Child &operator=(Child &&other) noexcept;
  ~Child();

  bool running() const { return Pid > 0; }
  pid_t id() const { return Pid; }
  void signal(int number) const;
  /// Sends SIGKILL and reaps the process.
  void kill();
  /// Waits for the process to exit; returns the exit code, or -1 if a signal
  /// ended it.
  int wait();
  /// Sends SIGTERM and waits for the process to exit.
  int terminate();

private:
  pid_t Pid = 0;
};

/// Exit code and combined output of a finished program.
struct RunResult {
  int ExitCode = -1;
  std::string Output;
};
/// Runs a program and waits until it exits.
RunResult runToCompletion(const std::vector<std::string> &command);

std::string readFile(const std::string &file);

} // namespace Support

#endif // SUPPORT_CHILD_H
