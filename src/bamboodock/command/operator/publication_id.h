#pragma once

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"

namespace bamboodock {

/// Random id of 128 bits, so that two operators never make the same one.
Result<PublicationId> MakePublicationId();

}  // namespace bamboodock
