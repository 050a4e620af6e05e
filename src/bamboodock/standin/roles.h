#pragma once

#include <memory>

#include "bamboodock/core/clock.h"
#include "bamboodock/standin/answer.h"
#include "bamboodock/standin/engine_settings.h"
#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Role of a stand-in program: platform, engine or service. The router reaches it only over HTTP.
class Role {
 public:
  virtual ~Role() = default;
  virtual HttpHandler& handler() = 0;
  /// Ends all waits, so that handlers in progress return.
  virtual void Stop() = 0;
};

struct PlatformSettings {
  Duration host_lag{0};
  RequestRate weight_rate{10.0};
};

struct ServiceSettings {
  Duration call_time{0};
  std::uint64_t warmup_requests = 0;
  Concurrency cold_limit{2};
};

std::unique_ptr<Role> MakePlatform(const PlatformSettings& settings, const Clock& clock);
std::unique_ptr<Role> MakeEngine(const EngineSettings& settings, Seed seed, const Clock& clock);
std::unique_ptr<Role> MakeService(const ServiceSettings& settings, Seed seed);

}  // namespace bamboodock::standin
