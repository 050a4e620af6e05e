#pragma once

#include <optional>

#include "bamboodock/core/failure.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/objects/object_set.h"

namespace bamboodock {

/// Work whose permission is checked against one object set.
struct WorkQuery {
  ClientAccountId account;
  EndpointId endpoint;
  /// Model and version of a chat; empty for a call of a plain service.
  ModelId model;
  VersionId version;
  /// Service of a plain call; empty for a chat.
  ServiceId service;
  /// Whether the work continues a session that began with the version.
  bool continues_session = false;
};

/// Why `account` may not run the model and version, or nothing.
std::optional<Failure> CheckVersion(const ObjectSet& set, const WorkQuery& work);

/// Why the endpoint may not take the work, or nothing.
std::optional<Failure> CheckEndpoint(const ObjectSet& set, const WorkQuery& work);

/// Both checks; an attempt is admitted only when the current and every prepared set permit it.
std::optional<Failure> CheckPermission(const ObjectSet& set, const WorkQuery& work);

}  // namespace bamboodock
