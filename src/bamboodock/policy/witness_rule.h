#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Prepare that a witness acknowledged and whose outcome it does not know.
struct PendingPublication {
  PublicationId id;
  Epoch next;
  friend bool operator==(const PendingPublication&, const PendingPublication&) = default;
};

/// What a witness remembers, and when it may attest that no newer epoch exists.
///
/// The memory is lost in a restart, so a new process does not know which prepares its earlier run
/// acknowledged. It may attest after one of two events:
/// - other witnesses with complete memory answered it, enough of them to share one with every
///   majority it was part of; or
/// - its epoch rose above the first one read from the store since the start. An earlier run cannot
///   have acknowledged a prepare above that epoch plus one, since publishers prepare the
///   successor of the accepted epoch.
class WitnessRule {
 public:
  /// @param capacity Most pending prepares kept; further ones are not acknowledged.
  WitnessRule(HostId self, std::vector<HostId> witnesses, std::size_t capacity = 16);

  /// Acknowledges a prepare of epoch `next`; a repeat is acknowledged again. False when an epoch
  /// of at least `next` is accepted or no room is left.
  bool Acknowledge(const PublicationId& publication, Epoch next);

  /// An epoch is known to be accepted, from any source; prepares up to it are settled.
  void Learn(Epoch epoch, const PublicationId& accepted);
  /// Like `Learn`, from an own read of the store.
  void LearnFromStore(Epoch epoch, const PublicationId& accepted);
  /// Answer of another witness to a question asked by this process.
  ///
  /// @param complete Whether that witness has complete memory itself.
  void LearnFromWitness(const HostId& witness, bool complete, Epoch epoch,
                        const std::vector<PendingPublication>& pending);
  /// The publication can no longer be accepted, for example after a conflict.
  void Drop(const PublicationId& publication);

  /// Whether all prepares that may still be accepted are remembered.
  bool complete() const;
  /// Epoch to attest, or empty when the store answers, memory is incomplete or a prepare is
  /// pending.
  std::optional<Epoch> Attestation(bool store_answers) const;
  /// Like `Attestation` with prepares pending; the answer must carry `pending()`.
  std::optional<Epoch> AttestationWithPending(bool store_answers) const;

  Epoch epoch() const { return epoch_; }
  const std::vector<PendingPublication>& pending() const { return pending_; }

 private:
  bool Remember(const PendingPublication& publication);

  HostId self_;
  std::vector<HostId> witnesses_;
  std::size_t capacity_;
  std::vector<PendingPublication> pending_;
  std::set<HostId> sources_;
  std::optional<Epoch> first_store_epoch_;
  Epoch epoch_;
  /// Highest epoch of a pending prepare that found no room.
  Epoch overflow_;
  bool recovered_ = false;
};

}  // namespace bamboodock
