#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/routing/endpoint_record.h"
#include "bamboodock/routing/operator_orders.h"
#include "bamboodock/routing/route_table.h"

namespace bamboodock {

/// One row of the store. `deleted` rows have no value.
struct StoreRow {
  std::string table;
  std::string key;
  std::string value;
  std::uint64_t revision = 0;
  bool deleted = false;
};

/// Another entry of the deployment, as its own row tells.
struct PeerRecord {
  HostId host;
  Address gossip;
};

/// What a row of the operator's table holds.
struct OperatorRow {
  /// Set when the row is the configuration; null when it cannot be read.
  Ref<const RouteTable> config;
  std::optional<RolloutOrder> rollout;
  /// Service of a rollout order that was removed.
  ServiceId removed_rollout;
  AvailabilityZoneId evacuation;
  bool evacuation_ended = false;
};

/// Row to be written, with the revision that it must have; 0 when it must not exist.
struct RowWrite {
  StoreRow row;
  std::optional<std::uint64_t> expected_revision;
};

/// Decodes and encodes the rows of the platform's tables; implemented by an adapter.
class DirectoryCodec {
 public:
  virtual ~DirectoryCodec() = default;

  /// Name of the operator's table.
  virtual std::string OperatorTable() const = 0;
  /// Name of the table in which endpoints register.
  virtual std::string EndpointTable() const = 0;
  /// Name of the router's own table: entries and rollouts.
  virtual std::string RouterTable() const = 0;

  /// Fails with `kBadMessage` when the row cannot be read.
  virtual Result<OperatorRow> ReadOperatorRow(const StoreRow& row) const = 0;
  /// Fails with `kBadMessage` when the row names no endpoint that can be used.
  virtual Result<EndpointRecord> ReadEndpoint(const StoreRow& row) const = 0;
  virtual std::optional<PeerRecord> ReadPeer(const StoreRow& row) const = 0;
  virtual std::optional<RolloutProgress> ReadProgress(const StoreRow& row) const = 0;

  virtual RowWrite WritePeer(const PeerRecord& peer) const = 0;
  /// Writes the progress row and the operator's view of it, under the condition that the progress
  /// row has not changed since.
  virtual std::vector<RowWrite> WriteProgress(const RolloutProgress& progress) const = 0;
};

/// Decoded answer of the store.
struct StoreAnswer {
  std::vector<StoreRow> rows;
  /// Newest revision that the answer covers.
  std::uint64_t revision = 0;
  /// Store's clock when it answered.
  std::chrono::milliseconds store_now{0};
  bool more = false;
};

}  // namespace bamboodock
