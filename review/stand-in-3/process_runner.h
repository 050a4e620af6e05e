// Runner in a process of its own, so that a crash is the end of a process, as the operating system
// shows it to the other end of each channel.
#pragma once

#include <sys/wait.h>

#include "scene.h"

namespace review {

/// The part that crashes the runner.
inline constexpr const char* kDeadlyPart = "dead:";

/// How an engine answers.
struct EngineTimes {
  /// Time to the head and the first event.
  int first_ms = 40;
  /// Time from one event to the next.
  int event_ms = 20;
  int events = 12;
};

/// Main function of the process: an engine whose streams have neither a length nor chunks. It
/// writes a line to standard output for each request.
int RunEngineProcess(const std::string& id, std::uint16_t port, const EngineTimes& times);

/// Starts the process, registers it, and starts it again some seconds after it has ended.
class ProcessRunner {
 public:
  ProcessRunner(Platform& platform, Record& record, std::string id, std::int64_t down_ms,
                const EngineTimes& times = {});

  /// Times of the crashes.
  std::vector<std::int64_t> crashes();
  /// Times at which requests with the part arrived.
  std::vector<std::int64_t> deadly_arrivals();

 private:
  void Run();
  bool Start();

  Platform& platform_;
  Record& record_;
  std::string id_;
  std::int64_t down_ms_;
  EngineTimes times_;
  std::uint16_t port_ = 0;
  pid_t pid_ = -1;
  int output_ = -1;
  int sequence_ = 0;
  std::mutex mutex_;
  std::vector<std::int64_t> crashes_;
  std::vector<std::int64_t> deadly_arrivals_;
};

}  // namespace review
