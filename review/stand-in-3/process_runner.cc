#include "process_runner.h"

#include <spawn.h>

extern char** environ;

namespace review {
namespace {

void Say(const std::string& line) {
  const std::string text = line + "\n";
  static_cast<void>(!write(1, text.data(), text.size()));
}

}  // namespace

int RunEngineProcess(const std::string& id, std::uint16_t port, const EngineTimes& times) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  Server server(
      [&id, &times](Stream& stream) {
        const auto request = stream.Read(NowMs() + 60000);
        if (!request) return;
        const std::string expected = request->Header("X-Bamboodock-Expect-Instance");
        if (!expected.empty() && expected != id) {
          stream.Write(
              "HTTP/1.1 421 X\r\nX-Bamboodock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
          return;
        }
        const std::string attempt = request->Header("X-Bamboodock-Attempt-Id");
        const bool deadly =
            request->Header("X-Bamboodock-Prompt-Prefix").find(kDeadlyPart) != std::string::npos;
        Say((deadly ? "deadly " : "sound ") + attempt);
        SleepMs(times.first_ms);
        stream.Write(Runner::Head(*request, 200,
                                  std::string(Runner::kStamp) +
                                      "Content-Type: text/event-stream\r\nConnection: close\r\n"));
        for (int i = 1; i <= times.events; ++i) {
          if (!stream.Write("id: " + std::to_string(i) + "\ndata: aaaa\n\n")) return;
          if (deadly) kill(getpid(), SIGKILL);
          SleepMs(times.event_ms);
        }
      },
      port);
  Say("up");
  while (true) SleepMs(1000);
}

ProcessRunner::ProcessRunner(Platform& platform, Record& record, std::string id,
                             std::int64_t down_ms, const EngineTimes& times)
    : platform_(platform), record_(record), id_(std::move(id)), down_ms_(down_ms), times_(times) {
  const int free = Listen(0);
  port_ = PortOf(free);
  close(free);
  std::thread([this] { Run(); }).detach();
}

bool ProcessRunner::Start() {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) return false;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
  const std::string port = std::to_string(port_);
  const std::string first = std::to_string(times_.first_ms);
  const std::string next = std::to_string(times_.event_ms);
  const std::string events = std::to_string(times_.events);
  const char* arguments[] = {"review-driver", "--engine",   id_.c_str(),    port.c_str(),
                             first.c_str(),   next.c_str(), events.c_str(), nullptr};
  pid_t pid = -1;
  const int error = posix_spawn(&pid, "/proc/self/exe", &actions, nullptr,
                                const_cast<char**>(arguments), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  output_ = ends[0];
  pid_ = pid;
  if (error == 0) AddProcess(pid);
  return error == 0;
}

void ProcessRunner::Run() {
  while (true) {
    if (!Start()) std::exit(2);
    const std::int64_t born = 1787956282063 + NowMs();
    std::string text;
    char bytes[4096];
    ssize_t size = 0;
    while ((size = read(output_, bytes, sizeof(bytes))) > 0) {
      text.append(bytes, static_cast<std::size_t>(size));
      for (std::size_t end; (end = text.find('\n')) != std::string::npos;) {
        const std::string line = text.substr(0, end);
        text.erase(0, end + 1);
        record_("runner=%s %s", id_.c_str(), line.c_str());
        if (line == "up") {
          platform_.Put("servers", id_,
                        {{"service", "s1"},
                         {"address", "127.0.0.1:" + std::to_string(port_)},
                         {"zone", "z1"},
                         {"version", "v1"},
                         {"slots", 64},
                         {"state", "ready"},
                         {"coldRemainingMs", 0},
                         {"sequence", ++sequence_},
                         {"born", born}});
        }
        if (line.starts_with("deadly")) {
          const std::lock_guard lock(mutex_);
          deadly_arrivals_.push_back(T());
        }
      }
    }
    close(output_);
    waitpid(pid_, nullptr, 0);
    RemoveProcess(pid_);
    {
      const std::lock_guard lock(mutex_);
      crashes_.push_back(T());
    }
    record_("runner=%s has crashed", id_.c_str());
    SleepMs(down_ms_);
  }
}

std::vector<std::int64_t> ProcessRunner::crashes() {
  const std::lock_guard lock(mutex_);
  return crashes_;
}

std::vector<std::int64_t> ProcessRunner::deadly_arrivals() {
  const std::lock_guard lock(mutex_);
  return deadly_arrivals_;
}

}  // namespace review
