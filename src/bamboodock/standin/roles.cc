#include "bamboodock/standin/roles.h"

#include "bamboodock/standin/command/engine_commands.h"
#include "bamboodock/standin/command/platform_commands.h"
#include "bamboodock/standin/command/service_commands.h"
#include "bamboodock/standin/query/engine_queries.h"
#include "bamboodock/standin/query/platform_queries.h"
#include "bamboodock/standin/query/service_queries.h"
#include "bamboodock/standin/routes.h"

namespace bamboodock::standin {
namespace {

class PlatformRole final : public Role {
 public:
  PlatformRole(const PlatformSettings& settings, const Clock& clock)
      : state_(clock, settings.host_lag),
        weight_limiter_(clock, settings.weight_rate),
        commands_(state_, duty_, faults_),
        queries_(state_, weight_limiter_, faults_) {}

  HttpHandler& handler() override { return handler_; }
  void Stop() override { faults_.Stop(); }

 private:
  FaultInjector faults_;
  PlatformState state_;
  WeightRateLimiter weight_limiter_;
  StateDuty duty_;
  PlatformCommands commands_;
  PlatformQueries queries_;
  RoleHandler<PlatformCommands, PlatformQueries> handler_{commands_, queries_};
};

class EngineRole final : public Role {
 public:
  EngineRole(const EngineSettings& settings, Seed seed, const Clock& clock)
      : duty_(settings, clock), commands_(duty_, faults_, seed), queries_(duty_, clock) {}

  HttpHandler& handler() override { return handler_; }
  void Stop() override {
    faults_.Stop();
    duty_.Shutdown();
  }

 private:
  FaultInjector faults_;
  EngineDuty duty_;
  EngineCommands commands_;
  EngineQueries queries_;
  RoleHandler<EngineCommands, EngineQueries> handler_{commands_, queries_};
};

class ServiceRole final : public Role {
 public:
  ServiceRole(const ServiceSettings& settings, Seed seed)
      : limiter_(settings.warmup_requests, settings.cold_limit),
        commands_(state_, duty_, limiter_, faults_),
        queries_(state_, limiter_, faults_) {
    commands_.CallTime(settings.call_time);
    queries_.CallTime(settings.call_time).TextSeed(seed);
  }

  HttpHandler& handler() override { return handler_; }
  void Stop() override { faults_.Stop(); }

 private:
  FaultInjector faults_;
  ServiceState state_;
  ServiceConcurrencyLimiter limiter_;
  StateDuty duty_;
  ServiceCommands commands_;
  ServiceQueries queries_;
  RoleHandler<ServiceCommands, ServiceQueries> handler_{commands_, queries_};
};

}  // namespace

std::unique_ptr<Role> MakePlatform(const PlatformSettings& settings, const Clock& clock) {
  return std::make_unique<PlatformRole>(settings, clock);
}

std::unique_ptr<Role> MakeEngine(const EngineSettings& settings, Seed seed, const Clock& clock) {
  return std::make_unique<EngineRole>(settings, seed, clock);
}

std::unique_ptr<Role> MakeService(const ServiceSettings& settings, Seed seed) {
  return std::make_unique<ServiceRole>(settings, seed);
}

}  // namespace bamboodock::standin
