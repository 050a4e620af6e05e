#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/store_revision.h"
#include "bamboodock/routing/endpoint_record.h"
#include "bamboodock/routing/operator_orders.h"
#include "bamboodock/routing/route_table.h"
#include "bamboodock/routing/row_sequences.h"

namespace bamboodock {

/// One row of the store. A row with `deleted` set has no value.
struct StoreRow {
  std::string table;
  std::string key;
  std::string value;
  StoreRevision revision;
  bool deleted = false;
};

/// Another entry of the deployment, as registered in its own row.
struct PeerRecord {
  HostId host;
  Address gossip;
};

/// Decoded row of the operator's table.
struct OperatorRow {
  /// Set when the row holds the configuration; null for other rows and for a deleted configuration.
  Ref<const RouteTable> config;
  std::optional<RolloutOrder> rollout;
  /// Service of a rollout order that was removed.
  ServiceId removed_rollout;
  AvailabilityZoneId evacuation;
  bool evacuation_ended = false;
};

/// Row to write on condition that the stored row has `expected_revision`, with number 0 when it
/// must not exist; empty when the write is unconditional.
struct RowWrite {
  StoreRow row;
  std::optional<StoreRevision> expected_revision;
};

/// Decodes and encodes the rows of the platform's tables; implemented by an adapter.
class DirectoryCodec : public RowSequences {
 public:
  /// Name of the operator's table.
  virtual std::string OperatorTable() const = 0;
  /// Name of the table in which endpoints register.
  virtual std::string EndpointTable() const = 0;
  /// Name of the router's own table: entries and rollouts.
  virtual std::string RouterTable() const = 0;

  /// Fails with `kBadMessage` when the row is malformed.
  virtual Result<OperatorRow> DecodeOperatorRow(const StoreRow& row) const = 0;
  /// Fails with `kBadMessage` when the row is not a valid endpoint registration.
  virtual Result<EndpointRecord> DecodeEndpoint(const StoreRow& row) const = 0;
  /// Empty when the row is deleted or is not the row of an entry with a valid address.
  virtual std::optional<PeerRecord> DecodePeer(const StoreRow& row) const = 0;
  /// Empty when the row is deleted or is not a rollout row; fails with `kBadMessage` when it is
  /// malformed.
  virtual Result<std::optional<RolloutProgress>> DecodeProgress(const StoreRow& row) const = 0;
  /// Service whose rollout row is deleted; empty when the row is another one or not deleted.
  virtual ServiceId RemovedProgress(const StoreRow& row) const = 0;

  virtual RowWrite EncodePeer(const PeerRecord& peer) const = 0;
  /// Writes for the progress row and the operator's status row, on condition that the progress row
  /// still has `RolloutProgress::revision`.
  virtual std::vector<RowWrite> EncodeProgress(const RolloutProgress& progress) const = 0;
};

/// Decoded answer of the store.
struct StoreAnswer {
  std::vector<StoreRow> rows;
  /// Newest revision that the answer covers.
  StoreRevision revision;
  /// Time on the store's clock when it answered.
  std::chrono::milliseconds store_now{0};
  /// Whether the table has further pages.
  bool more = false;
};

}  // namespace bamboodock
