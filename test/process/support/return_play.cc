#include "process/support/return_play.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <stdexcept>
#include <string_view>

#include "process/support/http.h"

namespace bamboodock::process_test {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kStarted = 1'787'956'282'063;
constexpr const char* kAlwaysValid = "always";
constexpr std::size_t kChangingKeys = 4;
constexpr std::size_t kChangingRoutes = 4;
/// Service that the changing route is moved to; its endpoint never leaves.
constexpr const char* kOtherService = "s2";
constexpr milliseconds kCallInterval{15};
constexpr milliseconds kBusyAnswerTime{50};
/// Longer pauses of a thread that wakes up every `kWatchInterval` show that the host did not run
/// this process.
constexpr milliseconds kWatchInterval{20};
constexpr milliseconds kMaxPause{200};

std::string Key(std::size_t index) { return "k" + std::to_string(index); }
std::string Prefix(std::size_t index) { return "/r" + std::to_string(index) + "/"; }

Address FreeAddress() {
  boost::asio::io_context loop;
  const boost::asio::ip::tcp::acceptor acceptor(loop,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

nlohmann::json ConfigJson(const PlayedConfig& config) {
  nlohmann::json routes = nlohmann::json::array();
  for (const auto& [prefix, service] : config.routes) {
    routes.push_back({{"name", "r" + prefix},
                      {"host", "h.example"},
                      {"prefix", prefix},
                      {"kind", "safe"},
                      {"timeoutMs", 20000},
                      {"priority", 1},
                      {"targetLatencyMs", 5000},
                      {"service", service},
                      {"maxAttempts", 2},
                      {"public", false},
                      {"resumable", false}});
  }
  nlohmann::json services = nlohmann::json::array();
  for (const char* name : {"s1", kOtherService}) {
    services.push_back({{"name", name}, {"coldS", 0}, {"coldPerS", 0}});
  }
  const nlohmann::json account{{"name", "acct"}, {"apiKeys", config.keys}};
  return {{"version", config.version},
          {"routes", routes},
          {"services", services},
          {"tenants", nlohmann::json::array({account})}};
}

std::string Text(const PlayedConfig& config) {
  std::string text = std::to_string(config.version) + " keys";
  for (const std::string& key : config.keys) text += " " + key;
  text += " routes";
  for (const auto& [prefix, service] : config.routes) text.append(" ").append(prefix + service);
  return text;
}

/// Status and body as `PlayedConfig::Outcome` has them.
std::string OutcomeOf(const std::string& answer) {
  constexpr std::string_view kProtocol = "HTTP/1.1 ";
  if (!answer.starts_with(kProtocol)) return "0";
  std::string status = answer.substr(kProtocol.size(), 3);
  if (status != "200") return status;
  return "200 " + answer.substr(answer.size() - 2);
}

}  // namespace

const std::array<ReturnPlay::Handler, 13> ReturnPlay::kHandlers{
    &ReturnPlay::ChangeConfig, &ReturnPlay::RewriteConfig, &ReturnPlay::Register,
    &ReturnPlay::Renew,        &ReturnPlay::Drain,         &ReturnPlay::Remove,
    &ReturnPlay::Restate,      &ReturnPlay::TakeCopy,      &ReturnPlay::SkipRevisions,
    &ReturnPlay::GoAway,       &ReturnPlay::Return,        &ReturnPlay::Freeze,
    &ReturnPlay::Wake};

ReturnPlay::ReturnPlay(std::uint64_t seed)
    : seed_(seed), plan_(MakeReturnPlan(seed)), random_(seed) {
  store_.SkipRevisions(100);
  PlayedConfig config;
  config.version = 10;
  config.keys = {kAlwaysValid, Key(0), Key(1)};
  config.routes = {{"/a/", "s1"}, {"/move/", "s1"}, {Prefix(0), "s1"}};
  PutConfig(config);
  StartEndpoints();
  for (std::size_t i = 0; i < kPlayRouters; ++i) StartRouter(i);
  for (std::size_t i = 0; i < kPlayRouters; ++i) AwaitServing(i);
}

ReturnPlay::~ReturnPlay() {
  stopping_ = true;
  for (Router& router : routers_) {
    if (router.process && router.is_frozen) router.process->Resume();
  }
  for (std::thread& thread : threads_) thread.join();
  for (Router& router : routers_) router.process.reset();
}

void ReturnPlay::StartEndpoints() {
  for (std::size_t i = 0; i <= kPlayEndpoints; ++i) {
    PlayedEndpoint endpoint;
    endpoint.id = "e" + std::to_string(i);
    endpoint.service = i < kPlayEndpoints ? "s1" : kOtherService;
    const std::string service = endpoint.service;
    endpoint.server =
        std::make_unique<ScriptedServer>([this, i, service](const auto& request, auto) {
          // The target is "/PREFIX/ROUTER".
          const std::string target(request.target());
          const std::size_t router = std::stoul(target.substr(target.rfind('/') + 1));
          if (i < kPlayEndpoints) record_.Add(PlayedArrival{router, i, record_.Now()});
          std::this_thread::sleep_for(answer_time_.load());
          std::string answer = "HTTP/1.1 200 OK\r\nX-Bamboodock-Attempt-Id: ";
          answer.append(request["X-Bamboodock-Attempt-Id"]);
          answer.append("\r\nX-Bamboodock-Response-Stamp: s\r\nContent-Length: 2\r\n\r\n");
          return ScriptedServer::Answer{answer + service};
        });
    endpoints_.push_back(std::move(endpoint));
    if (i < plan_.first_endpoints || i == kPlayEndpoints) Register(i);
  }
}

void ReturnPlay::StartRouter(std::size_t index) {
  const std::string folder = BinaryFolder() + "process-logs/store-return-" + std::to_string(seed_);
  std::filesystem::create_directories(folder);
  const std::string name = "h" + std::to_string(index);
  const std::string log = folder + "/" + name + ".log";
  std::filesystem::remove(log);
  Router& router = routers_.at(index);
  router.callers = FreeAddress();
  router.process = std::make_unique<ChildProcess>(
      BinaryFolder() + "bamboodock-router",
      std::vector<std::string>{"--host=" + name, "--availability_zone=z1", "--metrics=false",
                               "--callers=" + router.callers.ToString(),
                               "--readiness=" + FreeAddress().ToString(),
                               "--internal_ports=" + std::to_string(FreeAddress().port) + ",65535",
                               "--store=" + store_.address().ToString()},
      log);
}

void ReturnPlay::AwaitServing(std::size_t index) {
  const bool serves = WaitFor([&] {
    Call(index, kAlwaysValid, "/a/");
    return !record_.Reached(index, {}).empty();
  });
  if (!serves) throw std::runtime_error("a router does not serve after its start");
}

std::vector<std::string> ReturnPlay::Run() {
  // Steps count from here on.
  const PlayTime begin = record_.Now();
  is_judged_ = true;
  threads_.emplace_back([this] { WatchHost(); });
  for (std::size_t i = 0; i < kPlayRouters; ++i) {
    threads_.emplace_back([this, i] { CallContinually(i); });
  }
  for (const PlayStep& step : plan_.steps) {
    const PlayTime wait = begin + step.at - record_.Now();
    if (wait > PlayTime(0)) std::this_thread::sleep_for(wait);
    (this->*kHandlers.at(static_cast<std::size_t>(step.action)))(step.argument);
  }
  constexpr milliseconds kQuiet{3000};
  std::this_thread::sleep_for(kQuiet);
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  is_judged_ = false;
  std::vector<std::string> violations = record_.Violations();
  CheckReach(violations);
  return violations;
}

void ReturnPlay::WatchHost() {
  PlayTime last = record_.Now();
  while (!stopping_) {
    std::this_thread::sleep_for(kWatchInterval);
    const PlayTime now = record_.Now();
    if (now - last > kMaxPause) record_.HostStalled({last, now});
    last = now;
  }
}

void ReturnPlay::CallContinually(std::size_t router) {
  std::mt19937_64 random(seed_ + router + 1);
  while (!stopping_) {
    switch (random() % 4) {
      case 0:
        Call(router, kAlwaysValid, "/a/");
        break;
      case 1:
        Call(router, Key(random() % kChangingKeys), "/a/");
        break;
      case 2:
        Call(router, kAlwaysValid, Prefix(random() % kChangingRoutes));
        break;
      default:
        Call(router, kAlwaysValid, "/move/");
        break;
    }
    std::this_thread::sleep_for(kCallInterval);
  }
}

void ReturnPlay::Call(std::size_t router, const std::string& key, const std::string& prefix) {
  PlayedRequest request{router, record_.Now(), {}, key, prefix, {}};
  const Address& peer = routers_.at(router).callers;
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket socket(loop);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address(peer.ip), peer.port}, error);
  std::string answer;
  if (!error) {
    const std::string bytes =
        "POST " + prefix + std::to_string(router) +
        " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Api-Key: " + key +
        "\r\nX-Bamboodock-Time-Left-Ms: 20000\r\nX-Bamboodock-Attempt-Id: p" +
        std::to_string(router) + "-" + std::to_string(++calls_) +
        "\r\nContent-Length: 4\r\n\r\nbody";
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  }
  request.answered = record_.Now();
  request.outcome = OutcomeOf(answer);
  if (is_judged_) record_.Add(std::move(request));
}

void ReturnPlay::CallAtOnce(std::size_t router) {
  constexpr std::size_t kCallers = 4 * kPlayEndpoints;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([this, router] { Call(router, kAlwaysValid, "/a/"); });
  }
  for (std::thread& caller : callers) caller.join();
}

void ReturnPlay::CheckReach(std::vector<std::string>& violations) {
  constexpr std::chrono::seconds kReachLimit{10};
  // Open requests spread over all endpoints; those that follow one another go to the fastest.
  answer_time_ = kBusyAnswerTime;
  const PlayTime since = record_.Now();
  for (std::size_t router = 0; router < kPlayRouters; ++router) {
    WaitFor(
        [&] {
          CallAtOnce(router);
          return record_.Reached(router, since) == plan_.alive;
        },
        kReachLimit);
    const std::set<std::size_t> reached = record_.Reached(router, since);
    for (std::size_t endpoint = 0; endpoint < kPlayEndpoints; ++endpoint) {
      const bool is_alive = plan_.alive.contains(endpoint);
      if (reached.contains(endpoint) == is_alive) continue;
      violations.push_back("REACH endpoint " + std::to_string(endpoint) +
                           (is_alive ? " is alive and gets no requests of router "
                                     : " has left and gets requests of router ") +
                           std::to_string(router));
    }
  }
}

void ReturnPlay::ChangeConfig(std::size_t /*unused*/) {
  PlayedConfig config = configs_.back();
  ++config.version;
  const std::size_t changes = 1 + (random_() % 2);
  for (std::size_t i = 0; i < changes; ++i) {
    const std::uint64_t kind = random_() % 5;
    const std::string key = Key(random_() % kChangingKeys);
    const std::string prefix = Prefix(random_() % kChangingRoutes);
    if (kind < 2) {
      if (config.keys.erase(key) == 0) config.keys.insert(key);
    } else if (kind < 4) {
      if (config.routes.erase(prefix) == 0) config.routes[prefix] = "s1";
    } else {
      config.routes["/move/"] = config.routes["/move/"] == "s1" ? kOtherService : "s1";
    }
  }
  PutConfig(config);
}

void ReturnPlay::RewriteConfig(std::size_t all) {
  for (const PlayedConfig& config : std::vector<PlayedConfig>(configs_)) {
    const bool is_newest = config.version == configs_.back().version;
    if (is_newest || (all == 1 && config.version > copied_version_)) PutConfig(config);
  }
}

void ReturnPlay::PutConfig(const PlayedConfig& config) {
  const bool is_new = configs_.empty() || config.version > configs_.back().version;
  if (is_new) {
    configs_.push_back(config);
    record_.Issue(config);
  }
  const std::uint64_t revision = store_.Put("op", "config", ConfigJson(config));
  record_.StoreHoldsConfig(config.version);
  record_.Note("revision " + std::to_string(revision) + ": configuration " + Text(config) +
               (is_new ? "" : " (again)"));
}

void ReturnPlay::PutEndpoint(std::size_t endpoint) {
  PlayedEndpoint& played = endpoints_.at(endpoint);
  const bool leaving = IsLeaving(played.state);
  const std::uint64_t revision =
      store_.Put("servers", played.id,
                 {{"service", played.service},
                  {"address", played.server->address().ToString()},
                  {"zone", "z1"},
                  {"version", "v1"},
                  {"slots", 64},
                  {"state", leaving ? "draining" : "ready"},
                  {"coldRemainingMs", 0},
                  {"sequence", ++played.sequence},
                  {"born", kStarted + static_cast<std::int64_t>(endpoint)}});
  if (endpoint < kPlayEndpoints) record_.StoreHoldsLeaving(endpoint, leaving);
  record_.Note("revision " + std::to_string(revision) + ": endpoint " + played.id +
               (leaving ? " draining" : " ready") + ", sequence " +
               std::to_string(played.sequence));
}

void ReturnPlay::Register(std::size_t endpoint) {
  endpoints_.at(endpoint).state = EndpointState::kReady;
  PutEndpoint(endpoint);
}

void ReturnPlay::Renew(std::size_t endpoint) {
  const EndpointState state = endpoints_.at(endpoint).state;
  if (state == EndpointState::kReady || state == EndpointState::kDraining) PutEndpoint(endpoint);
}

void ReturnPlay::Drain(std::size_t endpoint) {
  endpoints_.at(endpoint).state = EndpointState::kDraining;
  PutEndpoint(endpoint);
}

void ReturnPlay::Remove(std::size_t endpoint) {
  PlayedEndpoint& played = endpoints_.at(endpoint);
  played.state = EndpointState::kRemoved;
  const std::uint64_t revision = store_.Remove("servers", played.id);
  record_.StoreHoldsLeaving(endpoint, true);
  record_.Note("revision " + std::to_string(revision) + ": endpoint " + played.id + " removed");
}

void ReturnPlay::Restate(std::size_t endpoint) {
  PlayedEndpoint& played = endpoints_.at(endpoint);
  if (played.state == EndpointState::kRemoved && store_.Value("servers", played.id)) {
    Remove(endpoint);
  } else {
    Renew(endpoint);
  }
}

void ReturnPlay::TakeCopy(std::size_t /*unused*/) {
  store_.TakeCopy();
  copied_version_ = configs_.back().version;
  copied_leaving_.clear();
  for (const PlayedEndpoint& endpoint : endpoints_) {
    copied_leaving_.push_back(IsLeaving(endpoint.state));
  }
  record_.Note("copy of the store, revision " + std::to_string(store_.revision()));
}

void ReturnPlay::SkipRevisions(std::size_t count) {
  store_.SkipRevisions(count);
  record_.Note("the store gives out " + std::to_string(count) + " revisions");
}

void ReturnPlay::GoAway(std::size_t /*unused*/) {
  away_since_ = record_.Now();
  record_.Note("the store is away, revision " + std::to_string(store_.revision()));
  store_.GoAway();
}

void ReturnPlay::Return(std::size_t skipped) {
  store_.RestoreCopy();
  store_.SkipRevisions(skipped);
  record_.StoreHoldsConfig(copied_version_);
  for (std::size_t i = 0; i < kPlayEndpoints; ++i) {
    record_.StoreHoldsLeaving(i, copied_leaving_.at(i));
  }
  store_.Return();
  record_.StoreAway({away_since_, record_.Now()});
  record_.Note("the store is back, revision " + std::to_string(store_.revision()) +
               ", configuration " + std::to_string(copied_version_));
}

void ReturnPlay::Freeze(std::size_t router) {
  Router& frozen = routers_.at(router);
  if (frozen.is_frozen) return;
  frozen.is_frozen = true;
  frozen.frozen_at = record_.Now();
  frozen.process->Suspend();
  record_.Note("router " + std::to_string(router) + " frozen");
}

void ReturnPlay::Wake(std::size_t router) {
  Router& frozen = routers_.at(router);
  if (!frozen.is_frozen) return;
  frozen.is_frozen = false;
  frozen.process->Resume();
  record_.RouterFrozen(router, {frozen.frozen_at, record_.Now()});
  record_.Note("router " + std::to_string(router) + " awake");
}

}  // namespace bamboodock::process_test
