#pragma once

#include <map>
#include <optional>
#include <utility>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Version that each session used last; a pin expires when its session is idle for the timeout.
class SessionPins {
 public:
  explicit SessionPins(Duration timeout) : timeout_(timeout) {}

  std::optional<VersionId> Find(const ServiceId& service, const SessionId& session,
                                MonotonicTime now) const {
    const auto found = pins_.find({service, session});
    if (found == pins_.end() || now - found->second.used > timeout_) return std::nullopt;
    return found->second.version;
  }

  void Set(const ServiceId& service, const SessionId& session, const VersionId& version,
           MonotonicTime now) {
    pins_.insert_or_assign({service, session}, Pin{version, now});
  }

  /// Calls `visit(session, version)` for each pin of the service that has not expired.
  template <class Visit>
  void ForEach(const ServiceId& service, MonotonicTime now, Visit visit) const {
    for (const auto& [key, pin] : pins_) {
      if (key.first == service && now - pin.used <= timeout_) visit(key.second, pin.version);
    }
  }

  /// Removes expired pins.
  void Prune(MonotonicTime now) {
    std::erase_if(pins_, [&](const auto& pin) { return now - pin.second.used > timeout_; });
  }

 private:
  struct Pin {
    VersionId version;
    MonotonicTime used;
  };

  Duration timeout_;
  std::map<std::pair<ServiceId, SessionId>, Pin> pins_;
};

}  // namespace bamboodock
