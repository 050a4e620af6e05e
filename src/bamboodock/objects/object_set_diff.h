#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/objects/object_set.h"

namespace bamboodock {

enum class ChangeKind : std::uint8_t { kAdded, kRemoved, kChanged };

/// One object that differs between two sets.
struct ObjectChange {
  ChangeKind change = ChangeKind::kChanged;
  /// Kind of the object, for example "endpoint".
  std::string_view kind;
  /// Id of the object; "model@version" for a version.
  std::string id;
  /// Names of the top-level fields that differ; empty for an added or removed object.
  std::vector<std::string_view> fields;
};

/// Changes that lead from `before` to `after`, sorted by kind, then by id.
std::vector<ObjectChange> DiffObjectSets(const ObjectSet& before, const ObjectSet& after);

/// "added", "removed" or "changed".
std::string_view Name(ChangeKind change);

}  // namespace bamboodock
