#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Version that each session used last.
///
/// A pin holds while a request of the session runs, and for the timeout after the end of the last
/// one. Since the report of an end may be lost, a request counts as ended at its deadline.
class SessionPins {
 public:
  explicit SessionPins(Duration timeout) : timeout_(timeout) {}

  std::optional<VersionId> Find(const ServiceId& service, const SessionId& session,
                                MonotonicTime now) const {
    const auto found = pins_.find({service, session});
    if (found == pins_.end() || IsExpired(found->second, now)) return std::nullopt;
    return found->second.version;
  }

  /// Records that a request of the session begins.
  ///
  /// @param deadline When the request is given up.
  void Begin(const ServiceId& service, const SessionId& session, const VersionId& version,
             MonotonicTime deadline) {
    Pin& pin = pins_[{service, session}];
    pin.version = version;
    ++pin.running;
    pin.deadline = std::max(pin.deadline, deadline);
  }

  /// Records that a running request of the session is sent again, to this version.
  void Change(const ServiceId& service, const SessionId& session, const VersionId& version) {
    const auto found = pins_.find({service, session});
    if (found != pins_.end()) found->second.version = version;
  }

  /// Records that a request of the session has ended.
  void End(const ServiceId& service, const SessionId& session, MonotonicTime now) {
    const auto found = pins_.find({service, session});
    if (found == pins_.end() || found->second.running == 0) return;
    --found->second.running;
    found->second.ended = now;
  }

  /// Calls `visit(session, version)` for each pin of the service that has not expired.
  template <class Visit>
  void ForEach(const ServiceId& service, MonotonicTime now, Visit visit) const {
    for (const auto& [key, pin] : pins_) {
      if (key.first == service && !IsExpired(pin, now)) visit(key.second, pin.version);
    }
  }

  /// Removes expired pins.
  void Prune(MonotonicTime now) {
    std::erase_if(pins_, [&](const auto& item) { return IsExpired(item.second, now); });
  }

 private:
  struct Pin {
    VersionId version;
    /// Requests that run.
    std::uint32_t running = 0;
    /// Latest deadline of a request of the session.
    MonotonicTime deadline{};
    /// End of the last request that ended.
    MonotonicTime ended{};
  };

  bool IsExpired(const Pin& pin, MonotonicTime now) const {
    const MonotonicTime last_use = pin.running > 0 ? std::max(pin.deadline, pin.ended) : pin.ended;
    return now - last_use > timeout_;
  }

  Duration timeout_;
  std::map<std::pair<ServiceId, SessionId>, Pin> pins_;
};

}  // namespace bamboodock
