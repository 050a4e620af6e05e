#pragma once

#include <chrono>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <type_traits>
#include <variant>
#include <vector>

#include "bamboodock/command/router/route_state.h"
#include "bamboodock/command/router/store_duty.h"
#include "bamboodock/core/boot_clock.h"
#include "fakes/null_event_log.h"
#include "fakes/table_store.h"
#include "platform/platform_directory_codec.h"
#include "platform/table_store_protocol.h"

namespace bamboodock {

/// Entry without network: what it reads from a store decides how it plans requests.
class FollowingEntry final : public StoreListener {
 public:
  FollowingEntry(const TableStore& store, const std::string& host)
      : state_({HostId(host), IncarnationId(host + "-1"), AvailabilityZoneId("z1")}, {}, clock_,
               Random(1), log_),
        duty_(store.address(), {HostId(host), {"127.0.0.1", 9}}, directory_, protocol_, clock_,
              *this, log_) {
    duty_.Start();
  }
  ~FollowingEntry() override { duty_.Stop(); }
  FollowingEntry(const FollowingEntry&) = delete;
  FollowingEntry& operator=(const FollowingEntry&) = delete;

  bool OnChange(RouteCommand change) override {
    const std::lock_guard lock(mutex_);
    std::visit(
        [this](const auto& delta) {
          using Delta = std::decay_t<decltype(delta)>;
          if constexpr (!std::is_same_v<Delta, PlanQuery>) state_.Apply(delta);
        },
        change);
    return true;
  }
  void OnPeers(const std::vector<PeerRecord>&) override {}

  /// Result code of a request to the path; `kOk` when an attempt is planned.
  ResultCode Code(const std::string& path, const std::string& key) {
    const std::lock_guard lock(mutex_);
    const PlanAnswer answer = state_.Plan(Query(path, key));
    return answer.plan ? ResultCode::kOk : answer.refusal.code;
  }
  /// Endpoints among which requests of `key` to "/a/" are divided.
  std::set<std::string> Endpoints(const std::string& key) {
    constexpr int kQueries = 40;
    const std::lock_guard lock(mutex_);
    std::set<std::string> endpoints;
    for (int i = 0; i < kQueries; ++i) {
      const PlanAnswer answer = state_.Plan(Query("/a/", key));
      if (answer.plan) endpoints.insert(answer.plan->endpoint.value());
    }
    return endpoints;
  }
  std::uint64_t ConfigVersionInForce() const {
    const std::lock_guard lock(mutex_);
    return state_.table() ? state_.table()->version().value() : 0;
  }
  Duration ConfigAge() const {
    const std::lock_guard lock(mutex_);
    return state_.ConfigAge();
  }
  /// Delivers a report of this entry to another one.
  void Tell(FollowingEntry& other) {
    PeerReport report;
    {
      const std::lock_guard lock(mutex_);
      report = state_.MakeReport();
    }
    other.OnChange(std::move(report));
  }

 private:
  static PlanQuery Query(const std::string& path, const std::string& key) {
    auto request = MakeRef<CallerRequest>();
    request->host = "h.example";
    request->target = path;
    request->metadata.key = ApiKey(key);
    request->metadata.attempt = AttemptId("a1");
    PlanQuery query;
    query.request = request;
    return query;
  }

  BootClock clock_;
  NullEventLog log_;
  platform::PlatformDirectoryCodec directory_;
  platform::TableStoreProtocol protocol_;
  mutable std::mutex mutex_;
  RouteState state_;
  StoreDuty duty_;
};

/// Whether the condition holds within the limit; polls it.
inline bool HoldsWithin(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
  constexpr std::chrono::milliseconds kInterval{10};
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(kInterval);
  }
  return true;
}

/// Whether the condition holds at each look for as long as `time`.
inline bool HoldsFor(std::chrono::milliseconds time, const std::function<bool()>& condition) {
  return !HoldsWithin(time, [&] { return !condition(); });
}

/// Configuration of the operator with the route "/a/" to service s1, and one more route when
/// `other_route` is not empty.
inline nlohmann::json ConfigRow(std::uint64_t version, const std::vector<std::string>& keys,
                                const std::string& other_route = "") {
  const auto route = [](const std::string& prefix) {
    return nlohmann::json{{"name", "r" + prefix},   {"host", "h.example"}, {"prefix", prefix},
                          {"kind", "safe"},         {"timeoutMs", 5000},   {"priority", 1},
                          {"targetLatencyMs", 500}, {"service", "s1"},     {"maxAttempts", 2},
                          {"public", false},        {"resumable", false}};
  };
  nlohmann::json routes = nlohmann::json::array({route("/a/")});
  if (!other_route.empty()) routes.push_back(route(other_route));
  const nlohmann::json account{{"name", "acct"}, {"apiKeys", keys}};
  return {{"version", version},
          {"routes", routes},
          {"services", {{{"name", "s1"}, {"coldS", 0}, {"coldPerS", 0}}}},
          {"tenants", nlohmann::json::array({account})}};
}

/// Registration of an endpoint of service s1.
///
/// @param started Unix milliseconds of its start.
/// @param sequence Number of its statement in this lifetime.
inline nlohmann::json RegistrationRow(std::int64_t started, std::uint64_t sequence,
                                      const std::string& state = "ready",
                                      const std::string& zone = "z1") {
  return {
      {"service", "s1"},     {"address", "10.0.0.1:80"}, {"zone", zone},    {"version", "v1"},
      {"slots", 64},         {"state", state},           {"born", started}, {"coldRemainingMs", 0},
      {"sequence", sequence}};
}

}  // namespace bamboodock
