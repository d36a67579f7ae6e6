#include "support/child.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <utility>

extern char **environ;

namespace Support {

namespace {

pid_t spawn(const std::vector<std::string> &command,
            const std::string &outputFile,
            const std::vector<std::string> &variables) {
  std::vector<char *> argv;
  argv.reserve(command.size() + 1);
  for (const std::string &arg : command)
    argv.push_back(const_cast<char *>(arg.c_str()));
  argv.push_back(nullptr);
  // The first of several values of a variable counts.
  std::vector<char *> environment;
  environment.reserve(variables.size() + 1);
  for (const std::string &it : variables)
    environment.push_back(const_cast<char *>(it.c_str()));
  for (char **it = environ; *it; ++it)
    environment.push_back(*it);
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, outputFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  int rc = posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(),
                       environment.data());
  posix_spawn_file_actions_destroy(&actions);
  return rc == 0 ? pid : 0;
}

} // namespace

Child::Child(const std::vector<std::string> &command,
             const std::string &outputFile,
             const std::vector<std::string> &variables)
    : Pid(spawn(command, outputFile, variables)) {}

Child::Child(Child &&other) noexcept : Pid(std::exchange(other.Pid, 0)) {}

Child &Child::operator=(Child &&other) noexcept {
  if (this != &other) {
    kill();
    Pid = std::exchange(other.Pid, 0);
  }
  return *this;
}

Child::~Child() { kill(); }

void Child::signal(int number) const {
  if (Pid > 0)
    ::kill(Pid, number);
}

void Child::kill() {
  if (Pid <= 0)
    return;
  signal(SIGKILL);
  wait();
}

int Child::wait() {
  if (Pid <= 0)
    return -1;
  int status = 0;
  waitpid(std::exchange(Pid, 0), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int Child::terminate() {
  signal(SIGTERM);
  return wait();
}

std::string readFile(const std::string &file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

RunResult runToCompletion(const std::vector<std::string> &command) {
  static int counter = 0;
  std::string file = std::filesystem::temp_directory_path() /
                     ("hickory-out-" + std::to_string(getpid()) + "-" +
                      std::to_string(++counter));
  Child child(command, file);
  RunResult result;
  result.ExitCode = child.wait();
  result.Output = readFile(file);
  std::filesystem::remove(file);
  return result;
}

} // namespace Support
