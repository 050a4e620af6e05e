#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Splits a byte stream of server-sent events into complete events.
///
/// A stream may break off within an event. Only complete events are passed on, so that the stream
/// can be resumed after the last of them.
class EventSplitter {
 public:
  void Append(std::string_view bytes) { pending_.append(bytes); }

  /// Takes all complete events that are pending, as received; empty when there is none. Events with
  /// an id up to `last_id` are left out: an endpoint that resumes a stream may repeat them.
  std::string Take();

  /// Id of the last event taken.
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  void set_last_id(std::optional<std::uint64_t> id) { last_id_ = id; }

  /// Number of events taken so far.
  std::uint64_t taken() const { return taken_; }

  /// Size of the incomplete event that is pending.
  Bytes partial_size() const { return Bytes(pending_.size()); }
  /// Whether an incomplete event is pending.
  bool HasPartial() const { return !pending_.empty(); }
  /// Discards the incomplete event.
  void DropPartial() { pending_.clear(); }

 private:
  std::string pending_;
  std::uint64_t taken_ = 0;
  std::optional<std::uint64_t> last_id_;
};

}  // namespace bamboodock
