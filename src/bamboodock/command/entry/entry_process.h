#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Another entry, as listed in the settings.
struct PeerEntry {
  HostId host;
  Address rpc;
  /// Address of the operator port; used for the merged timeline.
  Address operators;
};

/// Settings of an entry.
struct EntrySettings {
  HostId host;
  AvailabilityZoneId availability_zone;
  Address callers;
  Address operators;
  Address rpc;
  /// The other entries. Together with this one they form the set of witnesses.
  std::vector<PeerEntry> peers;
  Address platform;
  /// Secret that signs session pins and request handles; must be equal on all entries.
  std::string signing_key;
  /// Maximum number of caller connections served concurrently.
  Concurrency connections{512};
};

/// An entry process: owns its duties and servers and connects them.
class EntryProcess {
 public:
  /// Starts the duties and servers; fails with `kBadSetting` when an address cannot be bound.
  static Result<std::unique_ptr<EntryProcess>> Start(const EntrySettings& settings);
  ~EntryProcess();

  /// Reports not ready so that the load balancer drains the entry, waits up to
  /// `config::kGracePeriod` in all for open requests to finish and billing records to be confirmed,
  /// then stops all threads.
  void Stop();

 private:
  struct Parts;
  EntryProcess();
  std::unique_ptr<Parts> parts_;
};

}  // namespace bamboodock
