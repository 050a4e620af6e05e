#pragma once

#include <string>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"

namespace bamboodock {

/// Writing side of the object store.
class ObjectCommands {
 public:
  virtual ~ObjectCommands() = default;
  /// Stores bytes under their hash; a repeat is harmless.
  virtual Result<void> Put(const ObjectHash& hash, const std::string& bytes) = 0;
};

/// Reading side of the object store.
class ObjectQueries {
 public:
  virtual ~ObjectQueries() = default;
  /// Fails with `kNotFound` or `kStoreUnavailable`.
  virtual Result<std::string> Load(const ObjectHash& hash) = 0;
};

}  // namespace bamboodock
