#pragma once

#include "bamboodock/core/strong_id.h"

namespace bamboodock {

/// Kind of request whose quality is estimated together, for example "dossier_summary".
using RequestKind = StrongId<struct RequestKindTag>;

}  // namespace bamboodock
