#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bamboodock/command/config/config_snapshot.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/core/snapshot_cell.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/policy/freshness_rule.h"
#include "bamboodock/policy/witness_rule.h"

namespace bamboodock {

/// An epoch and its set are known to be accepted.
struct InstallCommand {
  PublishedSet set;
  /// Read from the store by this process itself.
  bool from_store = false;
};

/// Evidence that `epoch` was the newest accepted one at `confirmed_at`.
struct ConfirmCommand {
  Epoch epoch;
  MonotonicTime confirmed_at;
  std::vector<PublicationId> pending;
};

/// Answer of a witness to a question of this process.
struct WitnessCommand {
  HostId witness;
  bool attests = false;
  bool complete = false;
  Epoch epoch;
  MonotonicTime asked_at;
  std::vector<PendingPublication> pending;
};

/// A publisher asks this witness to acknowledge a prepare.
struct PrepareCommand {
  PublishedSet set;
  std::shared_ptr<BoundedRing<bool>> reply;
};

/// Prepared sets that a peer holds; admission here checks them too.
struct HoldCommand {
  std::vector<PublishedSet> sets;
};

/// Whether the last question to the store was answered.
struct StoreStateCommand {
  bool answers = false;
};

using ConfigCommand = std::variant<InstallCommand, ConfirmCommand, WitnessCommand, PrepareCommand,
                                   HoldCommand, StoreStateCommand>;

/// Owner of the configuration of a process: set in force, prepared sets and freshness.
class ConfigDuty : public Duty<ConfigDuty, ConfigCommand> {
 public:
  /// @param self Host of this process; empty at a sidecar, which is never a witness.
  /// @param witnesses All witnesses; empty at a sidecar.
  ConfigDuty(const HostId& self, const std::vector<HostId>& witnesses, TimelineDuty& timeline);
  ~ConfigDuty() { Stop(); }

  Ref<const ConfigSnapshot> snapshot() const { return snapshot_.Load(); }
  /// Waits until the snapshot satisfies `predicate`; false when `deadline` passes first.
  template <class Predicate>
  bool WaitUntil(MonotonicTime deadline, Predicate predicate) const {
    return snapshot_.WaitUntil(deadline, predicate);
  }

  void Handle(ConfigCommand& command);
  MonotonicTime Tick();

 private:
  void Apply(InstallCommand& command);
  void Apply(ConfirmCommand& command);
  void Apply(WitnessCommand& command);
  void Apply(PrepareCommand& command);
  void Apply(HoldCommand& command);
  void Apply(StoreStateCommand& command);
  bool Hold(const PublishedSet& set);
  void ReleaseDecided();
  void RecordFreshnessChange();
  void Publish();

  TimelineDuty& timeline_;
  PublishedSet current_;
  std::vector<PublishedSet> pending_;
  FreshnessRule freshness_;
  WitnessRule witness_;
  bool is_witness_;
  bool store_answers_ = false;
  bool was_fresh_ = false;
  SnapshotCell<ConfigSnapshot> snapshot_;
};

}  // namespace bamboodock
