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

/// Holds the lease of the endpoint and orders the engine to load the configured versions.
///
/// The lease rule checks each order immediately before it is sent. If the holder is paused between
/// the check and the sending, an engine that checks fencing tokens refuses the outdated order; for
/// an engine that does not, the time between the check and the receipt is not covered.
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
  /// Versions that the engine should load, with the epoch of the configuration that lists them.
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
