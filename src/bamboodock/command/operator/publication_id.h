#pragma once

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"

namespace bamboodock {

/// Random id of 128 bits in hexadecimal digits, so that the ids of two operators do not collide.
/// Fails with `kInternal` when no random bytes are available.
Result<PublicationId> MakePublicationId();

}  // namespace bamboodock
