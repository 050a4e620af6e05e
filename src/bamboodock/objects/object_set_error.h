#pragma once

#include <cstddef>
#include <string>

namespace bamboodock {

/// Maximum number of errors that the decoder or the checker lists, so that a malformed set cannot
/// exhaust memory.
inline constexpr std::size_t kMaxObjectSetErrors = 1000;

/// Error found in an object set.
struct ObjectSetError {
  /// Kind and id of the object, for example "endpoint nile-e1"; "set" for the set as a whole.
  std::string object;
  /// Path of the field within the object, for example "models[0].versions[1]"; may be empty.
  std::string field;
  std::string message;
};

}  // namespace bamboodock
