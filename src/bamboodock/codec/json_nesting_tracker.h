#pragma once

#include <cstddef>

namespace bamboodock {

/// Tracks the nesting of a JSON text and computes a lower bound of the bytes still to come.
///
/// A reader that must not read past the end of the text can read that many bytes at once.
class JsonNestingTracker {
 public:
  /// Processes the next byte of the text.
  void Feed(char byte);

  /// Lower bound of the bytes that complete the text; zero before it has begun and after its end.
  std::size_t min_remaining_bytes() const { return depth_ + (in_string_ ? 1 : 0); }

 private:
  std::size_t depth_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
};

}  // namespace bamboodock
