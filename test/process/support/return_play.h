#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "fakes/scripted_server.h"
#include "fakes/table_store.h"
#include "process/support/child_process.h"
#include "process/support/play_record.h"
#include "process/support/return_plan.h"

namespace bamboodock::process_test {

/// Play with router processes before a store in this process that returns from older copies.
/// Endpoints, operator and callers are in this process.
class ReturnPlay {
 public:
  /// Starts the routers; throws `std::runtime_error` when one does not serve.
  explicit ReturnPlay(std::uint64_t seed);
  ~ReturnPlay();
  ReturnPlay(const ReturnPlay&) = delete;
  ReturnPlay& operator=(const ReturnPlay&) = delete;

  /// Plays all steps; returns the breaches of the rules, a line each.
  std::vector<std::string> Run();
  const PlayRecord& record() const { return record_; }

 private:
  enum class EndpointState : std::uint8_t { kAbsent, kReady, kDraining, kRemoved };
  struct PlayedEndpoint {
    std::unique_ptr<ScriptedServer> server;
    /// Its service and id, for log lines and rows.
    std::string service;
    std::string id;
    EndpointState state = EndpointState::kAbsent;
    std::uint64_t sequence = 0;
  };
  struct Router {
    Address callers;
    std::unique_ptr<ChildProcess> process;
    PlayTime frozen_at{};
    bool is_frozen = false;
  };
  using Handler = void (ReturnPlay::*)(std::size_t argument);
  /// By `PlayAction`.
  static const std::array<Handler, 13> kHandlers;

  void StartEndpoints();
  void StartRouter(std::size_t index);
  void AwaitServing(std::size_t index);
  void WatchHost();
  void CallContinually(std::size_t router);
  /// Sends a request on a new connection; records it.
  void Call(std::size_t router, const std::string& key, const std::string& prefix);
  /// Sends several requests for each endpoint at once.
  void CallAtOnce(std::size_t router);
  void CheckReach(std::vector<std::string>& violations);

  void ChangeConfig(std::size_t);
  void RewriteConfig(std::size_t all);
  void Register(std::size_t endpoint);
  void Renew(std::size_t endpoint);
  void Drain(std::size_t endpoint);
  void Remove(std::size_t endpoint);
  void Restate(std::size_t endpoint);
  void TakeCopy(std::size_t);
  void SkipRevisions(std::size_t count);
  void GoAway(std::size_t);
  void Return(std::size_t skipped);
  void Freeze(std::size_t router);
  void Wake(std::size_t router);

  void PutConfig(const PlayedConfig& config);
  void PutEndpoint(std::size_t endpoint);
  static bool IsLeaving(EndpointState state) {
    return state == EndpointState::kDraining || state == EndpointState::kRemoved;
  }

  std::uint64_t seed_;
  ReturnPlan plan_;
  std::mt19937_64 random_;
  PlayRecord record_{kPlayRouters, kPlayEndpoints};
  TableStore store_;
  std::vector<PlayedConfig> configs_;
  std::vector<PlayedEndpoint> endpoints_;
  std::array<Router, kPlayRouters> routers_;
  /// What the copy holds.
  std::uint64_t copied_version_ = 0;
  std::vector<bool> copied_leaving_;
  PlayTime away_since_{};
  /// How long an endpoint takes for its answer.
  std::atomic<std::chrono::milliseconds> answer_time_{std::chrono::milliseconds(5)};
  /// Number of requests sent, for their ids.
  std::atomic<std::size_t> calls_{0};
  /// Whether the answers to requests count, which those before all routers serve do not.
  std::atomic<bool> is_judged_{false};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace bamboodock::process_test
