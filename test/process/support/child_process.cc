#include "process/support/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace bamboodock::process_test {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr mode_t kLogMode = 0644;

/// Number of processes of this run that exited before a test stopped them.
int unexpected_exit_count = 0;

}  // namespace

std::string BinaryFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path().string() + "/";
}

int ChildProcess::unexpected_exits() { return unexpected_exit_count; }

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
                           const std::string& log)
    : log_(log) {
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + program);
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Kill() {
  if (pid_ < 0) return;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) {
    ++unexpected_exit_count;
    std::cerr << log_ << ": exited before it was killed, wait status " << status << '\n';
  } else {
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  pid_ = -1;
}

void ChildProcess::Suspend() {
  Signal(SIGSTOP);
  waitpid(pid_, nullptr, WUNTRACED);
}

void ChildProcess::Resume() { Signal(SIGCONT); }

void ChildProcess::Terminate() { Signal(SIGTERM); }

std::optional<int> ChildProcess::Wait(Duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  int status = 0;
  while (waitpid(pid_, &status, WNOHANG) != pid_) {
    if (std::chrono::steady_clock::now() >= deadline) return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ChildProcess::IsRunning() const {
  siginfo_t state{};
  // WNOWAIT leaves the exit status for `Kill` and `Wait`.
  const int error = waitid(P_PID, static_cast<id_t>(pid_), &state, WEXITED | WNOHANG | WNOWAIT);
  return error == 0 && state.si_pid == 0;
}

Bytes ChildProcess::PeakMemory() const {
  constexpr std::string_view kField = "VmHWM:";
  constexpr std::uint64_t kUnit = 1024;
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(kField)) return Bytes(std::stoull(line.substr(kField.size())) * kUnit);
  }
  return Bytes(0);
}

std::size_t ChildProcess::OpenDescriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid_) + "/fd",
                                                        error);
  return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

std::string ChildProcess::ThreadStates() const {
  std::string text;
  std::error_code error;
  const std::filesystem::path tasks = "/proc/" + std::to_string(pid_) + "/task";
  for (const auto& task : std::filesystem::directory_iterator(tasks, error)) {
    std::string state;
    std::string wait_channel;
    std::ifstream status(task.path() / "status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("State:")) state = line.substr(line.find_first_not_of("State:\t "));
    }
    std::ifstream(task.path() / "wchan") >> wait_channel;
    text.append(task.path().filename()).append(" ").append(state).append(" ");
    text.append(wait_channel).append("\n");
  }
  return text.empty() ? "process has ended\n" : text;
}

void ChildProcess::Signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

}  // namespace bamboodock::process_test
