#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/evidence_counters.h"

namespace bamboodock {

/// Cumulative evidence on one version at one sidecar incarnation.
struct VersionCounters {
  ModelId model;
  VersionId version;
  EvidenceCounters counters;
};

/// `sync`: load and evidence of an endpoint, sent by its sidecar.
struct SyncRequest {
  EndpointId endpoint;
  IncarnationId incarnation;
  Epoch epoch;
  Concurrency in_flight;
  Concurrency limit;
  bool warm = false;
  bool leaving = false;
  /// Requests that the endpoint itself reports as running and queued.
  Concurrency reported_load;
  std::chrono::milliseconds report_age{0};
  std::vector<VersionCounters> evidence;
};

/// Publication that is prepared and not yet known to be accepted or superseded by another.
struct PendingSet {
  PublicationId publication;
  Epoch epoch;
  /// Encoded object set.
  std::string set;
};

/// Response to `sync` and `witness`: the configuration as the entry knows it.
struct ConfigStatus {
  HostId host;
  Epoch epoch;
  PublicationId publication;
  /// Whether the entry has fresh evidence that no newer epoch was accepted.
  bool fresh = false;
  /// Age of that evidence.
  std::chrono::milliseconds age{0};
  /// Whether the entry attests, as a witness, that the store does not answer it and that `pending`
  /// names every prepare above its epoch.
  bool attests = false;
  /// Whether the entry has a record of every prepare that it acknowledged and that is not settled.
  bool complete = false;
  std::vector<PendingSet> pending;
  /// Encoded object set; empty when the requester already has it.
  std::string set;
};

/// `witness`: one entry asks another for its configuration status.
struct WitnessRequest {
  HostId host;
  Epoch epoch;
};

/// `prepare`: a publisher asks a witness to acknowledge the next epoch.
struct PrepareRequest {
  PendingSet pending;
};

struct PrepareResponse {
  bool acknowledged = false;
  Epoch epoch;
  HostId host;
  IncarnationId incarnation;
};

/// `announce`: an epoch was accepted.
struct AnnounceRequest {
  Epoch epoch;
  PublicationId publication;
  std::string set;
};

/// `settle`: the billing record of a request is confirmed up to a step.
struct SettleRequest {
  RequestId request;
  StepNumber step;
};

nlohmann::json ToJson(const SyncRequest& message);
nlohmann::json ToJson(const ConfigStatus& message);
nlohmann::json ToJson(const WitnessRequest& message);
nlohmann::json ToJson(const PrepareRequest& message);
nlohmann::json ToJson(const PrepareResponse& message);
nlohmann::json ToJson(const AnnounceRequest& message);
nlohmann::json ToJson(const SettleRequest& message);

/// Decodes a control message; fails with `kBadMessage`.
template <class Message>
Result<Message> FromJson(const nlohmann::json& json);

template <>
Result<SyncRequest> FromJson<SyncRequest>(const nlohmann::json& json);
template <>
Result<ConfigStatus> FromJson<ConfigStatus>(const nlohmann::json& json);
template <>
Result<WitnessRequest> FromJson<WitnessRequest>(const nlohmann::json& json);
template <>
Result<PrepareRequest> FromJson<PrepareRequest>(const nlohmann::json& json);
template <>
Result<PrepareResponse> FromJson<PrepareResponse>(const nlohmann::json& json);
template <>
Result<AnnounceRequest> FromJson<AnnounceRequest>(const nlohmann::json& json);
template <>
Result<SettleRequest> FromJson<SettleRequest>(const nlohmann::json& json);

}  // namespace bamboodock
