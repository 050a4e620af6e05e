#pragma once

#include <map>
#include <vector>

#include "bamboodock/command/router/endpoint_pool.h"
#include "bamboodock/command/router/rollout_controller.h"
#include "bamboodock/command/router/session_pins.h"
#include "bamboodock/policy/rollout_versions.h"
#include "bamboodock/routing/caller_request.h"

namespace bamboodock {

/// Selects the versions of a service that a request may get.
///
/// Keeps the versions that sessions used last, and the version in use of services without a rollout
/// order. Used on the planning duty's thread only.
class VersionSelector {
 public:
  /// Versions that may be used, and the share of their usable endpoints that may be chosen.
  struct Selection {
    std::vector<VersionId> preferred;
    /// Used when no endpoint of the preferred versions is usable; may be empty.
    std::vector<VersionId> fallback;
    Ratio subset_share{1.0};
  };

  /// State on which the selection depends, owned by the caller.
  struct Inputs {
    RolloutController& rollouts;
    EndpointPool& pool;
    /// Number of entries that divide the tolerated exposure.
    std::uint32_t entries = 1;
    MonotonicTime now{};
  };

  /// @param session_timeout Time after which an idle session may change its version.
  explicit VersionSelector(Duration session_timeout) : sessions_(session_timeout) {}

  Selection Select(const ServiceId& service, const RequestMetadata& request, Inputs inputs);
  /// Takes note of the version to which the first attempt of a request is sent.
  ///
  /// @param deadline When the request is given up.
  void OnFirstAttempt(const ServiceId& service, const SessionId& session, const VersionId& version,
                      MonotonicTime deadline);
  /// Takes note of the version to which a later attempt is sent.
  void OnNextAttempt(const ServiceId& service, const SessionId& session, const VersionId& version);
  /// Takes note of the end of a request with an attempt.
  void OnRequestEnd(const ServiceId& service, const SessionId& session, MonotonicTime now);
  /// Version that the service uses while it has no rollout order; null when none is known.
  const VersionId* Baseline(const ServiceId& service) const;
  /// Sessions of the target's trial share that run on another version, at most `max_count`. When
  /// there are more, each call continues where the one before has ended.
  std::vector<SessionHash> TakeHeldBack(const RolloutOrder& order, Ratio trial_share,
                                        std::size_t max_count, MonotonicTime now);
  void Prune(MonotonicTime now) { sessions_.Prune(now); }

 private:
  Selection SelectWithoutOrder(const ServiceId& service, const Inputs& inputs);
  Selection SelectInRollout(const ServiceId& service, const RequestMetadata& request,
                            const RolloutOrder& order, const Inputs& inputs);

  SessionPins sessions_;
  /// Version in use by service when there is no rollout.
  std::map<ServiceId, VersionId> baseline_;
  /// When a version without a rollout order was first seen, by service.
  std::map<ServiceId, MonotonicTime> without_order_since_;
  /// Sessions that `TakeHeldBack` has returned so far, by service.
  std::map<ServiceId, std::size_t> held_back_told_;
};

}  // namespace bamboodock
