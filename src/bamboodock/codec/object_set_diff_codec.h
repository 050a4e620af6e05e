#pragma once

#include <string>
#include <vector>

#include "bamboodock/objects/object_set.h"
#include "bamboodock/objects/object_set_diff.h"

namespace bamboodock {

/// JSON of one object, by kind and operator's id; empty when the set has no such object.
std::string EncodeObject(const ObjectSet& set, std::string_view kind, const std::string& id);

/// JSON {"changes":[{"change","kind","id","fields":[{"field","before","after"}]}]}.
std::string EncodeChanges(const std::vector<ObjectChange>& changes, const ObjectSet& before,
                          const ObjectSet& after);

/// Table with a line for each added or removed object and for each changed field. Values longer
/// than 48 bytes are cut; `EncodeChanges` has them in full.
std::string DescribeChanges(const std::vector<ObjectChange>& changes, const ObjectSet& before,
                            const ObjectSet& after);

}  // namespace bamboodock
