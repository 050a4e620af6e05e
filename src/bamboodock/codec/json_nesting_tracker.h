#pragma once

#include <cstddef>

namespace bamboodock {

/// Follows the nesting of a JSON text and tells how many bytes must still come.
///
/// A reader that may not read past the end of a text can read that many bytes at once.
class JsonNestingTracker {
 public:
  /// Takes the next byte of the text.
  void Feed(char byte);

  /// Fewest bytes that complete the text; zero before it has begun and after its end.
  std::size_t min_remaining_bytes() const { return depth_ + (in_string_ ? 1 : 0); }

 private:
  std::size_t depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
};

}  // namespace bamboodock
