#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/transport/address.h"

namespace bamboodock {

/// Another entry, as the settings name it.
struct PeerEntry {
  HostId host;
  Address rpc;
  /// Operator port, for the merged timeline.
  Address operators;
};

/// Settings of an entry.
struct EntrySettings {
  HostId host;
  AvailabilityZoneId availability_zone;
  Address callers;
  Address operators;
  Address rpc;
  /// The other entries; with this one they are the witnesses.
  std::vector<PeerEntry> peers;
  Address platform;
  /// Secret that signs session pins and request handles; the same at all entries.
  std::string signing_key;
  /// Caller connections served at the same time.
  Concurrency connections{512};
};

/// All duties of an entry, wired together.
class EntryProcess {
 public:
  /// Fails with `kBadSetting` when an address cannot be bound.
  static Result<std::unique_ptr<EntryProcess>> Start(const EntrySettings& settings);
  ~EntryProcess();

  /// Leaves the balancer, finishes open requests, confirms billing records, ends all threads.
  void Stop();

 private:
  struct Parts;
  EntryProcess();
  std::unique_ptr<Parts> parts_;
};

}  // namespace bamboodock
