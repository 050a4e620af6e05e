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

/// Installs a set that is known to be accepted at its epoch; the set is null when only the epoch
/// and the publication are reported.
struct InstallCommand {
  PublishedSet set;
  /// Whether this process read it from the store itself.
  bool from_store = false;
};

/// Adds evidence that `epoch` was the newest accepted epoch at `confirmed_at`.
struct ConfirmCommand {
  Epoch epoch;
  MonotonicTime confirmed_at;
  std::vector<PublicationId> pending;
};

/// Passes on the answer of a witness to a query sent by this process at `asked_at`.
struct WitnessCommand {
  HostId witness;
  bool attests = false;
  bool complete = false;
  Epoch epoch;
  MonotonicTime asked_at;
  std::vector<PendingPublication> pending;
};

/// Requests that this witness acknowledges a prepare; the reply is false when it refuses.
struct PrepareCommand {
  PublishedSet set;
  std::shared_ptr<BoundedRing<bool>> reply;
};

/// Adds prepared sets held by a peer, so that admission in this process checks them as well.
struct HoldPreparedSetsCommand {
  std::vector<PublishedSet> sets;
};

/// Reports whether the store answered the last query.
struct StoreStateCommand {
  bool answers = false;
};

using ConfigCommand = std::variant<InstallCommand, ConfirmCommand, WitnessCommand, PrepareCommand,
                                   HoldPreparedSetsCommand, StoreStateCommand>;

/// Owns the configuration of a process: the set in force, the prepared sets and their freshness.
class ConfigDuty : public Duty<ConfigDuty, ConfigCommand> {
 public:
  /// @param self Host of this process; empty at a sidecar, which is never a witness.
  /// @param witnesses All witnesses; empty at a sidecar.
  ConfigDuty(const HostId& self, const std::vector<HostId>& witnesses, TimelineDuty& timeline);
  ~ConfigDuty() { Stop(); }

  Ref<const ConfigSnapshot> snapshot() const { return snapshot_.Load(); }
  /// Blocks until the snapshot satisfies `predicate`; false when `deadline` passes first.
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
  void Apply(HoldPreparedSetsCommand& command);
  void Apply(StoreStateCommand& command);
  bool Hold(const PublishedSet& set);
  void ReleaseDecided();
  void RecordFreshnessChange();
  void PublishSnapshot();

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
