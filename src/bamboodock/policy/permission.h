#pragma once

#include <optional>

#include "bamboodock/core/failure.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/objects/object_set.h"

namespace bamboodock {

/// Work that is checked against one object set.
struct PermissionQuery {
  ClientAccountId account;
  EndpointId endpoint;
  /// Model and version of a chat request; empty for a call of a plain service.
  ModelId model;
  VersionId version;
  /// Service of a plain call; empty for a chat request.
  ServiceId service;
  /// Whether the work continues a session that began on the version.
  bool continues_session = false;
};

/// Reason why the client account may not use the version or service; empty when it may.
std::optional<Failure> CheckVersion(const ObjectSet& set, const PermissionQuery& query);

/// Reason why the endpoint may not run the work; empty when it may.
std::optional<Failure> CheckEndpoint(const ObjectSet& set, const PermissionQuery& query);

/// Result of the first check that fails; empty when both pass. An attempt is admitted only when the
/// current set and every prepared set permit it.
std::optional<Failure> CheckPermission(const ObjectSet& set, const PermissionQuery& query);

}  // namespace bamboodock
