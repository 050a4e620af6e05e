#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "bamboodock/core/duty.h"
#include "bamboodock/core/snapshot_cell.h"
#include "bamboodock/standin/engine_settings.h"
#include "bamboodock/standin/generation.h"

namespace bamboodock::standin {

/// Queues a generation.
struct StartGeneration {
  Ref<Generation> generation;
};

/// Cancels a generation whose caller has disconnected.
struct CancelGeneration {
  Ref<Generation> generation;
};

/// Makes the engine cold again.
struct TurnCold {};

/// Order from the holder of the engine's lease.
struct EngineOrder {
  FencingToken fencing;
  std::string action;
  VersionId version;
};

struct OrderOutcome {
  bool applied = false;
  FencingToken highest;
};

struct ApplyOrder {
  EngineOrder order;
  std::shared_ptr<BoundedRing<OrderOutcome>> reply;
};

using EngineCommand = std::variant<StartGeneration, CancelGeneration, TurnCold, ApplyOrder>;

/// Load of the engine at `taken_at`; replaced once per `EngineSettings::load_lag`.
struct LoadReport : RefCounted<LoadReport> {
  Concurrency running;
  Concurrency queued;
  bool warm = true;
  MonotonicTime taken_at{};
};

struct EngineCounters : RefCounted<EngineCounters> {
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t cold_overloads = 0;
  std::uint64_t prefix_hits = 0;
  Concurrency max_running;
  /// Maximum number of open streams while cold, counting those refused above the cold limit.
  Concurrency max_running_cold;
  Tokens tokens;
};

/// Loaded versions, highest fencing token accepted and most recent orders.
struct EngineState : RefCounted<EngineState> {
  std::set<VersionId> loaded;
  FencingToken highest;
  std::deque<EngineOrder> orders;
};

/// Addition to the prefix cache, or removal from it.
struct CacheEvent {
  SequenceNumber sequence;
  bool stored = true;
  PrefixHash prefix;
  MonotonicTime visible_at{};
};

struct CacheEvents : RefCounted<CacheEvents> {
  std::deque<CacheEvent> events;
};

/// Thread that owns the state of a stand-in engine: batch, queue, token timing, cold start, prefix
/// cache and orders. The accessors return snapshots and may be called on any thread.
class EngineDuty final : public Duty<EngineDuty, EngineCommand> {
 public:
  EngineDuty(EngineSettings settings, const Clock& clock);
  ~EngineDuty() { Shutdown(); }

  /// Stops the thread, then closes the event rings of all generations.
  void Shutdown();

  const EngineSettings& settings() const { return settings_; }
  Ref<const LoadReport> load() const { return load_cell_.Load(); }
  Ref<const EngineCounters> counters() const { return counters_cell_.Load(); }
  Ref<const EngineState> state() const { return state_cell_.Load(); }
  Ref<const CacheEvents> cache_events() const { return events_cell_.Load(); }

  void Handle(EngineCommand& command);
  MonotonicTime Tick();
  /// Time of the next token or load report.
  MonotonicTime NextDue() const;

 private:
  struct Running {
    Ref<Generation> generation;
    MonotonicTime next_token;
    Tokens sent;
  };

  void On(StartGeneration& command);
  void On(CancelGeneration& command);
  void On(TurnCold& command);
  void On(ApplyOrder& command);

  void FillBatch();
  void StartRunning(const Ref<Generation>& generation);
  /// Pushes the events that are due; true when the generation is complete.
  bool EmitDueTokens(Running& running, MonotonicTime now);
  Duration FirstTokenTime(const Generation& generation);
  Duration TokenTime(const Generation& generation) const;
  /// Multiplies `time` by the cold factor while the engine is cold.
  Duration ScaleIfCold(Duration time) const;
  void RecordCacheEvent(bool stored, PrefixHash prefix);
  void PublishCounters();
  bool warm() const { return served_ >= settings_.warmup_requests(); }

  EngineSettings settings_;
  const Clock& clock_;
  std::vector<Running> running_;
  std::deque<Ref<Generation>> queue_;
  std::uint64_t served_ = 0;
  PrefixCache cache_;
  SequenceNumber cache_sequence_;
  EngineCounters counters_;
  EngineState state_;
  CacheEvents events_;
  MonotonicTime next_load_report_{};

  SnapshotCell<LoadReport> load_cell_;
  SnapshotCell<EngineCounters> counters_cell_;
  SnapshotCell<EngineState> state_cell_;
  SnapshotCell<CacheEvents> events_cell_;
};

}  // namespace bamboodock::standin
