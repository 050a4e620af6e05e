#include "bamboodock/codec/json_nesting_tracker.h"

namespace bamboodock {

void JsonNestingTracker::Feed(char byte) {
  if (in_string_) {
    if (escaped_) {
      escaped_ = false;
    } else if (byte == '\\') {
      escaped_ = true;
    } else if (byte == '"') {
      in_string_ = false;
    }
    return;
  }
  switch (byte) {
    case '"':
      in_string_ = true;
      break;
    case '{':
    case '[':
      ++depth_;
      break;
    case '}':
    case ']':
      if (depth_ > 0) --depth_;
      break;
    default:
      break;
  }
}

}  // namespace bamboodock
