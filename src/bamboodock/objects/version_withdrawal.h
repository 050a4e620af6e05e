#pragma once

#include "bamboodock/core/ids.h"
#include "bamboodock/objects/object_set.h"

namespace bamboodock {

/// Copy of `set` with `version` of `model` at `stage`.
///
/// A version that leaves stage `kActive` loses its share; the other shares of the model are scaled
/// up to sum to 1. When no other version has a share, the model is left without shares and takes no
/// new sessions, because a withdrawal must not start traffic to a version to which operators gave
/// no share.
Ref<const ObjectSet> WithVersionStage(const ObjectSet& set, const ModelId& model,
                                      const VersionId& version, VersionStage stage);

}  // namespace bamboodock
