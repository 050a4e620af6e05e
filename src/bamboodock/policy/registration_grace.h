#pragma once

#include <optional>

#include "bamboodock/core/store_revision.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Decides which removed registrations are kept for some time after an outage of the store.
///
/// Registrations expire while endpoints cannot renew them, and are back within the grace time after
/// the store's return if their endpoints are alive. A removal that is newer than the state of the
/// store at its return is none of these: the endpoint has left.
///
/// Load pattern: endpoints leave shortly after an outage in which registrations of others expired.
class RegistrationGrace {
 public:
  explicit RegistrationGrace(Duration grace) : grace_(grace) {}

  /// Records that the store did not answer.
  void OnOutage() { in_outage_ = true; }

  /// Records an answer of the store.
  /// @param revision Newest revision of the store when it answered.
  void OnAnswer(StoreRevision revision, MonotonicTime now) {
    if (!in_outage_) return;
    in_outage_ = false;
    return_revision_ = revision;
    returned_at_ = now;
  }

  /// Time until which an endpoint is kept whose registration was removed at `revision`; empty when
  /// the removal takes effect at once.
  std::optional<MonotonicTime> KeepUntil(StoreRevision revision, MonotonicTime now) const {
    const MonotonicTime until = returned_at_ + grace_;
    const bool is_of_the_outage =
        revision.era == return_revision_.era && revision.number <= return_revision_.number;
    if (!is_of_the_outage || until <= now) return std::nullopt;
    return until;
  }

  /// Newest revision of the store when it last returned; number 0 before the first outage.
  StoreRevision return_revision() const { return return_revision_; }

 private:
  Duration grace_;
  bool in_outage_ = false;
  StoreRevision return_revision_;
  MonotonicTime returned_at_{};
};

}  // namespace bamboodock
