#include <gflags/gflags.h>

#include <array>
#include <csignal>
#include <string_view>
#include <utility>

#include "bamboodock/config/settings.h"
#include "bamboodock/standin/roles.h"
#include "bamboodock/transport/address.h"

DEFINE_string(role, "", "platform, engine or service");
DEFINE_string(listen, "127.0.0.1:9000", "IP:PORT to serve on");
DEFINE_uint64(seed, 1, "seed of the answers");
DEFINE_uint32(threads, 192, "connections served at the same time");
DEFINE_uint32(host_lag_ms, 0, "platform: delay in ms until a change shows in the list of hosts");
DEFINE_double(weight_rate, 10.0, "platform: weight reads allowed per second");
DEFINE_string(versions, "default:1", "engine: name:quality:ms_per_token,...");
DEFINE_uint32(batch, 16, "engine: streams that generate at the same time");
DEFINE_double(first_token_ms, 50.0, "engine: time to the first token in ms");
DEFINE_double(token_ms, 10.0, "engine: time between tokens in ms");
DEFINE_uint64(warmup_requests, 0, "engine, service: requests after which it is warm");
DEFINE_double(cold_factor, 4.0, "engine: slowdown factor while cold");
DEFINE_uint32(cold_limit, 2, "engine, service: streams above which it fails while cold");
DEFINE_uint32(load_lag_ms, 500, "engine: interval of the load report in ms");
DEFINE_uint64(cached_prefixes, 256, "engine: prompt prefixes kept in the cache");
DEFINE_bool(check_fencing, false, "engine: refuse orders with an old fencing token");
DEFINE_double(call_ms, 0.0, "service: duration of a call in ms");

namespace bamboodock::standin {
namespace {

Duration Milliseconds(double value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

Result<std::unique_ptr<Role>> PlatformFromFlags(const Clock& clock) {
  return MakePlatform({Milliseconds(FLAGS_host_lag_ms), RequestRate(FLAGS_weight_rate)}, clock);
}

Result<std::unique_ptr<Role>> EngineFromFlags(const Clock& clock) {
  BOOST_LEAF_AUTO(versions, ParseVersions(FLAGS_versions));
  if (FLAGS_batch == 0) return Raise(ResultCode::kBadSetting, "--batch must be at least 1, got 0");
  EngineSettings settings;
  settings.Versions(std::move(versions))
      .Batch(Concurrency(FLAGS_batch))
      .FirstTokenTime(Milliseconds(FLAGS_first_token_ms))
      .TokenTime(Milliseconds(FLAGS_token_ms))
      .ColdStart(FLAGS_warmup_requests, FLAGS_cold_factor, Concurrency(FLAGS_cold_limit))
      .LoadLag(Milliseconds(FLAGS_load_lag_ms))
      .CachedPrefixes(FLAGS_cached_prefixes)
      .CheckFencing(FLAGS_check_fencing);
  return MakeEngine(settings, Seed(FLAGS_seed), clock);
}

Result<std::unique_ptr<Role>> ServiceFromFlags(const Clock& /*clock*/) {
  return MakeService(
      {Milliseconds(FLAGS_call_ms), FLAGS_warmup_requests, Concurrency(FLAGS_cold_limit)},
      Seed(FLAGS_seed));
}

struct RoleFactory {
  std::string_view name;
  Result<std::unique_ptr<Role>> (*make)(const Clock& clock);
};

constexpr std::array kRoles{
    RoleFactory{"platform", &PlatformFromFlags},
    RoleFactory{"engine", &EngineFromFlags},
    RoleFactory{"service", &ServiceFromFlags},
};

Result<std::unique_ptr<Role>> RoleFromFlags(const Clock& clock) {
  for (const RoleFactory& role : kRoles) {
    if (role.name == FLAGS_role) return role.make(clock);
  }
  return Raise(ResultCode::kBadSetting, "--role must be platform, engine or service");
}

Result<int> Serve() {
  // Blocked before any thread starts, so that only `sigwait` below receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  const SystemClock clock;
  BOOST_LEAF_AUTO(address, ParseAddress(FLAGS_listen));
  BOOST_LEAF_AUTO(role, RoleFromFlags(clock));
  BOOST_LEAF_AUTO(server, HttpServerBuilder()
                              .Listen(address)
                              .Threads(Concurrency(FLAGS_threads))
                              .Handler(role->handler())
                              .Build());
  int received = 0;
  sigwait(&signals, &received);
  role->Stop();
  server->Stop();
  return 0;
}

}  // namespace
}  // namespace bamboodock::standin

int main(int argc, char** argv) {
  const auto exit_code =
      bamboodock::ParseSettings(&argc, &argv, "--role=platform|engine|service --listen=IP:PORT");
  if (exit_code) return *exit_code;
  if (argc > 1) return bamboodock::ReportInvalidSetting("unexpected argument");
  return bamboodock::HandleFailure([] { return bamboodock::standin::Serve(); },
                                   [](const bamboodock::Failure& failure) {
                                     return bamboodock::ReportInvalidSetting(failure.detail);
                                   });
}
