#pragma once

#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"

namespace bamboodock {

/// Commands of the object store.
class ObjectCommands {
 public:
  virtual ~ObjectCommands() = default;
  /// Stores bytes under their hash; idempotent.
  ///
  /// Fails with `kStoreUnavailable` (not applied) or `kStoreAnswerLost` (may have been applied).
  virtual Result<void> Put(const ObjectHash& hash, const std::string& bytes) = 0;
};

/// Queries of the object store.
class ObjectQueries {
 public:
  virtual ~ObjectQueries() = default;
  /// Returns the bytes stored under `hash`. Fails with `kNotFound` or `kStoreUnavailable`.
  virtual Result<std::string> Load(const ObjectHash& hash) = 0;
};

}  // namespace bamboodock
