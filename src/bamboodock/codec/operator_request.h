#pragma once

#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/objects/version.h"

namespace bamboodock {

/// `POST /commands/publish`.
struct PublishRequest {
  PublicationId publication;
  /// Encoded object set.
  std::string set;
};

/// `POST /commands/drain` and `POST /commands/restore`.
struct ZoneRequest {
  PublicationId publication;
  AvailabilityZoneId availability_zone;
};

/// `POST /commands/withdraw`.
struct WithdrawRequest {
  PublicationId publication;
  ModelId model;
  VersionId version;
  VersionStage stage = VersionStage::kWithdrawn;
};

/// The decoders fail with `kBadRequest` and a detail that names the invalid field.
Result<PublishRequest> DecodePublishRequest(const std::string& body);
Result<ZoneRequest> DecodeZoneRequest(const std::string& body);
Result<WithdrawRequest> DecodeWithdrawRequest(const std::string& body);

}  // namespace bamboodock
