#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Publication whose prepare a witness acknowledged and whose outcome it does not know.
struct PendingPublication {
  PublicationId id;
  Epoch next;
  friend bool operator==(const PendingPublication&, const PendingPublication&) = default;
};

/// State of a witness: the prepares that it acknowledged, and whether it may attest that no newer
/// epoch exists.
///
/// The state is lost in a restart, so a new process does not know which prepares its earlier
/// incarnation acknowledged. It may attest after one of two events:
/// - other witnesses with complete state answered it, enough of them to include a member of every
///   majority that this witness was part of; or
/// - its epoch rose above the first one that it read from the store since the start. An earlier
///   incarnation cannot have acknowledged a prepare above that epoch plus one, since publishers
///   prepare the successor of the accepted epoch.
class WitnessRule {
 public:
  /// @param capacity Maximum number of pending prepares; further ones are not acknowledged.
  WitnessRule(HostId self, std::vector<HostId> witnesses, std::size_t capacity = 16);

  /// Acknowledges a prepare of epoch `next`; a repeated prepare is acknowledged again. False when
  /// an epoch of at least `next` is accepted or the capacity is reached.
  bool Acknowledge(const PublicationId& publication, Epoch next);

  /// Records that an epoch was accepted, as learned from any source. Prepares up to that epoch are
  /// no longer pending.
  void Learn(Epoch epoch, const PublicationId& accepted);
  /// Like `Learn`, for an epoch that this process read from the store.
  void LearnFromStore(Epoch epoch, const PublicationId& accepted);
  /// Adds the answer of another witness to a query of this process.
  ///
  /// @param complete Whether the state of that witness is complete.
  void LearnFromWitness(const HostId& witness, bool complete, Epoch epoch,
                        const std::vector<PendingPublication>& pending);
  /// Removes a publication that can no longer be accepted, for example after a conflict.
  void Drop(const PublicationId& publication);

  /// Whether all acknowledged prepares that may still be accepted are known.
  bool complete() const;
  /// Epoch to attest; empty when the store answers, the state is incomplete or a prepare is
  /// pending.
  std::optional<Epoch> Attestation(bool store_answers) const;
  /// Like `Attestation`, but also while prepares are pending; the answer must carry `pending()`.
  std::optional<Epoch> AttestationWithPending(bool store_answers) const;

  Epoch epoch() const { return epoch_; }
  const std::vector<PendingPublication>& pending() const { return pending_; }

 private:
  bool AddPending(const PendingPublication& publication);

  HostId self_;
  std::vector<HostId> witnesses_;
  std::size_t capacity_;
  std::vector<PendingPublication> pending_;
  std::set<HostId> complete_witnesses_;
  std::optional<Epoch> first_store_epoch_;
  Epoch epoch_;
  /// Highest epoch of a pending prepare of another witness that exceeded the capacity.
  Epoch highest_dropped_;
  bool recovered_ = false;
};

}  // namespace bamboodock
