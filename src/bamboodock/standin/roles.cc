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

class PlatformHost final : public Role {
 public:
  PlatformHost(const PlatformSettings& settings, const Clock& clock)
      : state_(clock, settings.host_lag),
        weights_(clock, settings.weight_rate),
        commands_(state_, duty_, faults_),
        queries_(state_, weights_, faults_) {}

  HttpHandler& handler() override { return handler_; }
  void Stop() override { faults_.Stop(); }

 private:
  FaultBoard faults_;
  PlatformState state_;
  WeightGate weights_;
  StateDuty duty_;
  PlatformCommands commands_;
  PlatformQueries queries_;
  RoleHandler<PlatformCommands, PlatformQueries> handler_{commands_, queries_};
};

class EngineHost final : public Role {
 public:
  EngineHost(const EngineSettings& settings, Seed seed, const Clock& clock)
      : duty_(settings, clock), commands_(duty_, faults_, seed), queries_(duty_, clock) {}

  HttpHandler& handler() override { return handler_; }
  void Stop() override {
    faults_.Stop();
    duty_.Shutdown();
  }

 private:
  FaultBoard faults_;
  EngineDuty duty_;
  EngineCommands commands_;
  EngineQueries queries_;
  RoleHandler<EngineCommands, EngineQueries> handler_{commands_, queries_};
};

class ServiceHost final : public Role {
 public:
  ServiceHost(const ServiceSettings& settings, Seed seed)
      : gate_(settings.warmup_requests, settings.cold_limit),
        commands_(state_, duty_, gate_, faults_),
        queries_(state_, gate_, faults_) {
    commands_.CallTime(settings.call_time);
    queries_.CallTime(settings.call_time).TextSeed(seed);
  }

  HttpHandler& handler() override { return handler_; }
  void Stop() override { faults_.Stop(); }

 private:
  FaultBoard faults_;
  ServiceState state_;
  ServiceGate gate_;
  StateDuty duty_;
  ServiceCommands commands_;
  ServiceQueries queries_;
  RoleHandler<ServiceCommands, ServiceQueries> handler_{commands_, queries_};
};

}  // namespace

std::unique_ptr<Role> MakePlatform(const PlatformSettings& settings, const Clock& clock) {
  return std::make_unique<PlatformHost>(settings, clock);
}

std::unique_ptr<Role> MakeEngine(const EngineSettings& settings, Seed seed, const Clock& clock) {
  return std::make_unique<EngineHost>(settings, seed, clock);
}

std::unique_ptr<Role> MakeService(const ServiceSettings& settings, Seed seed) {
  return std::make_unique<ServiceHost>(settings, seed);
}

}  // namespace bamboodock::standin
