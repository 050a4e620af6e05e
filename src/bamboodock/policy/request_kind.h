#pragma once

#include "bamboodock/core/strong_id.h"

namespace bamboodock {

/// Kind of request; quality is estimated for each kind, for example "dossier_summary".
using RequestKind = StrongId<struct RequestKindTag>;

}  // namespace bamboodock
