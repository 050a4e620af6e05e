// What every case needs: the record, router processes started with the settings of the deploy file,
// runners that register themselves, and clients.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdarg>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>

#include "platform.h"

namespace review {

inline std::int64_t g_start = NowMs();
inline std::int64_t T() { return NowMs() - g_start; }

/// Lines of record.txt, with the time since the start in ms.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) std::exit(2);
  }
  void operator()(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char line[1024];
    va_list list;
    va_start(list, format);
    std::vsnprintf(line, sizeof(line), format, list);
    va_end(list);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8lld %s\n", static_cast<long long>(T()), line);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

inline bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Processes that the case has started.
inline std::mutex g_processes_mutex;
inline std::set<pid_t> g_processes;

inline void AddProcess(pid_t pid) {
  const std::lock_guard lock(g_processes_mutex);
  g_processes.insert(pid);
}
inline void RemoveProcess(pid_t pid) {
  const std::lock_guard lock(g_processes_mutex);
  g_processes.erase(pid);
}

/// Ends the case: all processes that it started, and this one. The threads of the stand-ins may
/// still wait on their sockets, so nothing is destroyed.
[[noreturn]] inline void End(Record& record, int result) {
  record("result %d", result);
  {
    const std::lock_guard lock(g_processes_mutex);
    for (const pid_t pid : g_processes) kill(pid, SIGKILL);
    for (const pid_t pid : g_processes) waitpid(pid, nullptr, 0);
  }
  std::fflush(nullptr);
  _exit(result);
}

/// Router process with the settings of deploy/router.flags.
class Router {
 public:
  Router(const std::string& host, const std::string& zone, const std::string& store,
         const std::string& folder)
      : host_(host), zone_(zone), store_(store), path_(folder + "/" + host) {}

  /// Starts the process and waits until it is ready. Another process may take one of its ports, so
  /// it is tried a few times.
  bool Start() {
    for (int i = 0; i < 5; ++i) {
      WriteSettings();
      Spawn();
      if (AwaitReady()) return true;
      if (Runs()) return false;
    }
    return false;
  }
  void Spawn() {
    const std::string config = "BAMBOODOCK_CONFIG=" + path_ + ".flags";
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ != 0) {
      AddProcess(pid_);
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(2);
    const int log = open((path_ + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    const char* arguments[] = {"target/bamboodock-router", nullptr};
    const char* path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path ? path : "");
    const char* environment[] = {config.c_str(), path_variable.c_str(), nullptr};
    execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
    _exit(2);
  }
  void Signal(int number) const { kill(pid_, number); }
  /// Whether the process still runs.
  bool Runs() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    status_ = status;
    RemoveProcess(pid_);
    pid_ = -1;
    return false;
  }
  int status() const { return status_; }
  bool Ready() const {
    Stream stream(Stream::Connect(readiness_));
    if (stream.fd() < 0) return false;
    stream.Write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    const auto answer = stream.Read(NowMs() + 500);
    return answer && answer->Status() == 200;
  }
  bool AwaitReady(std::int64_t limit_ms = 10000) {
    const std::int64_t until = NowMs() + limit_ms;
    while (NowMs() < until && Runs()) {
      if (Ready()) return true;
      SleepMs(50);
    }
    return false;
  }
  std::uint16_t callers() const { return callers_; }
  std::string LogPath() const { return path_ + ".log"; }

 private:
  void WriteSettings() {
    callers_ = FreePort();
    readiness_ = FreePort();
    while (true) {
      internal_ = FreePort();
      const int next = Listen(static_cast<std::uint16_t>(internal_ + 1));
      if (next < 0) continue;
      close(next);
      break;
    }
    std::map<std::string, std::string> fields{
        {"node", host_},
        {"zone", zone_},
        {"listen.front", "127.0.0.1:" + std::to_string(callers_)},
        {"listen.ready", "127.0.0.1:" + std::to_string(readiness_)},
        {"ip", "127.0.0.1"},
        {"internalPorts", std::to_string(internal_) + "," + std::to_string(internal_ + 15)},
        {"platform.address", store_},
        {"bounds.retryBudgetRatio", "0.9"},
        {"bounds.budgetExtra", "56"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.exposureShare", "0.15"},
        {"bounds.exposureTolerance", "30"},
        {"bounds.coldOverrun", "1.5"},
        {"bounds.coldTolerance", "5"},
        {"bounds.revokeMs", "5000"},
        {"bounds.sessionS", "5"},
        {"bounds.graceS", "8"},
        {"limits.memoryMb", "260"},
        {"limits.maxFds", "4100"}};
    std::ifstream from("deploy/router.flags");
    std::stringstream read;
    read << from.rdbuf();
    std::string text = read.str();
    for (const auto& [name, value] : fields) {
      const std::string place = "{{" + name + "}}";
      for (std::size_t at; (at = text.find(place)) != std::string::npos;) {
        text.replace(at, place.size(), value);
      }
    }
    std::ofstream(path_ + ".flags") << text;
  }
  static std::uint16_t FreePort() {
    const int fd = Listen(0);
    const std::uint16_t port = PortOf(fd);
    close(fd);
    return port;
  }

  std::string host_;
  std::string zone_;
  std::string store_;
  std::string path_;
  std::uint16_t callers_ = 0;
  std::uint16_t readiness_ = 0;
  std::uint16_t internal_ = 0;
  pid_t pid_ = -1;
  int status_ = 0;
};

/// A request as a runner has received it.
struct Arrival {
  std::int64_t at = 0;
  std::string runner;
  std::string attempt;
};

/// Runner with an entry in the store. `Work` answers one request on the stream and returns whether
/// the channel is kept.
class Runner {
 public:
  using Work = std::function<bool(Runner&, const Message&, Stream&)>;

  Runner(Platform& platform, Record& record, std::string id, std::string service, Work work,
         int slots = 64)
      : platform_(platform),
        record_(record),
        id_(std::move(id)),
        service_(std::move(service)),
        work_(std::move(work)),
        slots_(slots),
        born_(1787956282063 + NowMs()),
        server_([this](Stream& stream) { Serve(stream); }) {}

  const std::string& id() const { return id_; }
  void Register(const std::string& state = "ready") {
    platform_.Put("servers", id_,
                  {{"service", service_},
                   {"address", server_.address()},
                   {"zone", "z1"},
                   {"version", "v1"},
                   {"slots", slots_},
                   {"state", state},
                   {"coldRemainingMs", 0},
                   {"sequence", ++sequence_},
                   {"born", born_.load()}});
  }
  /// Crashes: all channels are reset and new ones too, until `Restart`.
  void Crash() { server_.set_down(true); }
  bool down() const { return server_.down(); }
  void Restart() {
    born_ = 1787956282063 + NowMs();
    server_.set_down(false);
    Register();
  }
  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  Record& record() { return record_; }

  static std::string Head(const Message& request, int status, const std::string& more) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nX-Bamboodock-Attempt-Id: " + request.Header("X-Bamboodock-Attempt-Id") + "\r\n" +
           more + "\r\n";
  }
  static constexpr const char* kStamp =
      "X-Bamboodock-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";

 private:
  void Serve(Stream& stream) {
    while (true) {
      const auto request = stream.Read(NowMs() + 600000);
      if (!request || server_.down()) return;
      const std::string expected = request->Header("X-Bamboodock-Expect-Instance");
      if (!expected.empty() && expected != id_) {
        stream.Write("HTTP/1.1 421 X\r\nX-Bamboodock-Instance-Id: " + id_ +
                     "\r\nX-Bamboodock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const std::string attempt = request->Header("X-Bamboodock-Attempt-Id");
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back({T(), id_, attempt});
      }
      record_("arrive runner=%s attempt=%s tenant=%s", id_.c_str(), attempt.c_str(),
              request->Header("X-Bamboodock-Tenant").c_str());
      if (!work_(*this, *request, stream)) return;
    }
  }

  Platform& platform_;
  Record& record_;
  std::string id_;
  std::string service_;
  Work work_;
  int slots_;
  std::atomic<std::int64_t> born_;
  int sequence_ = 0;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  Server server_;
};

/// A plain answer of 64 bytes after `work_ms`.
inline Runner::Work Plain(std::int64_t work_ms) {
  return [work_ms](Runner&, const Message& request, Stream& stream) {
    SleepMs(work_ms);
    const std::string body(64, 'a');
    return stream.Write(
        Runner::Head(request, 200, std::string(Runner::kStamp) + "Content-Length: 64\r\n") + body);
  };
}

/// What a client has seen of one request.
struct Outcome {
  int status = 0;
  /// Whether the answer is complete.
  bool whole = false;
  std::int64_t sent = 0;
  std::int64_t ended = 0;
  std::string body;
};

/// Sends one request on a new channel and reads the answer until `limit_ms` after it was sent.
inline Outcome Ask(std::uint16_t port, const std::string& attempt, const std::string& line,
                   const std::string& headers, std::int64_t limit_ms) {
  Outcome outcome;
  outcome.sent = T();
  Stream stream(Stream::Connect(port));
  const std::int64_t until = NowMs() + limit_ms;
  if (stream.fd() >= 0) {
    stream.Write(line + " HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Attempt-Id: " + attempt +
                 "\r\n" + headers + "Content-Length: 0\r\n\r\n");
    if (const auto answer = stream.Read(until)) {
      outcome.status = answer->Status();
      outcome.body = answer->body;
      outcome.whole = true;
      if (strcasecmp(answer->Header("Transfer-Encoding").c_str(), "chunked") == 0) {
        std::string& rest = stream.buffer();
        while (!rest.ends_with("0\r\n\r\n") && stream.Fill(until)) {
        }
        outcome.whole = rest.ends_with("0\r\n\r\n");
        outcome.body = rest;
      }
    }
  }
  outcome.ended = T();
  return outcome;
}

inline Json Route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, int timeout_ms, int target_ms, int attempts) {
  return {{"name", name},    {"host", "h.example"},     {"prefix", prefix},
          {"kind", kind},    {"timeoutMs", timeout_ms}, {"targetLatencyMs", target_ms},
          {"priority", 1},   {"service", service},      {"maxAttempts", attempts},
          {"public", false}, {"resumable", false}};
}

inline Json Config(int version, const std::vector<Json>& routes,
                   const std::vector<std::string>& services,
                   const std::map<std::string, std::vector<std::string>>& tenants) {
  Json config{{"version", version},
              {"routes", routes},
              {"services", Json::array()},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", 4194304},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}};
  for (const std::string& service : services) {
    config["services"].push_back({{"name", service},
                                  {"healthPath", "/health"},
                                  {"maxConnections", 110},
                                  {"protocol", "h1"},
                                  {"tls", false},
                                  {"coldS", 0.0},
                                  {"coldPerS", 0.0}});
  }
  if (!tenants.empty()) config["tenants"] = Json::array();
  for (const auto& [name, keys] : tenants) {
    config["tenants"].push_back({{"name", name}, {"apiKeys", keys}, {"priority", 1}});
  }
  return config;
}

}  // namespace review
