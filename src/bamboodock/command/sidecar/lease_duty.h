#pragma once

#include <optional>
#include <set>

#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/sidecar/load_poll_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/policy/lease_rule.h"
#include "bamboodock/stores/table.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock {

/// Holds the lease of the endpoint and gives the engine its orders.
///
/// An order is judged by the lease rule at the last moment before it is sent. An engine that
/// checks fencing numbers refuses what a paused holder sends all the same; for one that does not,
/// the time between the judgement and the engine's receipt remains.
class LeaseDuty : public Duty<LeaseDuty, NoCommand> {
 public:
  struct Parts {
    EndpointId endpoint;
    IncarnationId incarnation;
    Address upstream;
    TableCommands& commands;
    TableQueries& queries;
    const ConfigDuty& config;
    TimelineDuty& timeline;
  };

  explicit LeaseDuty(Parts parts);
  ~LeaseDuty() { Stop(); }

  void Handle(NoCommand& /*command*/) {}
  MonotonicTime Tick();

 private:
  /// Versions that the configuration wants loaded, under the epoch of the decision.
  struct DesiredVersions {
    Epoch epoch;
    std::set<VersionId> versions;
  };

  std::optional<DesiredVersions> FindDesiredVersions() const;
  Result<bool> Renew();
  void SendLoadOrders(const DesiredVersions& desired);
  bool SendLoadOrder(const VersionId& version, Epoch decision_epoch);

  Parts parts_;
  HttpClient engine_;
  LeaseRule rule_;
  RowVersion row_version_;
  std::uint64_t renewal_count_ = 0;
  bool held_ = false;
  std::set<VersionId> ordered_versions_;
};

}  // namespace bamboodock
