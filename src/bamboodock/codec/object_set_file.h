#pragma once

#include <string>

#include "bamboodock/core/result.h"

namespace bamboodock {

/// Reads the file of an object set; fails with `kBadSetting` when it cannot be read or exceeds
/// `kMaxObjectSetBytes`.
Result<std::string> ReadObjectSetFile(const std::string& path);

}  // namespace bamboodock
