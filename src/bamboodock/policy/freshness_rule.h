#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Whether a process may admit work under its installed epoch.
enum class FreshnessVerdict : std::uint8_t {
  /// The store or a peer confirmed the installed epoch within the limit.
  kFresh,
  /// A majority of witnesses attested the installed epoch within the limit.
  kFreshByWitnesses,
  /// No evidence within the limit; refuse "not run".
  kNotFresh,
  /// A higher epoch is known to be accepted; install it first.
  kBehind,
};

/// Decides whether the installed configuration is known to be the newest.
///
/// A publisher commits epoch N+1 only after a majority of the witnesses acknowledged it, and two
/// majorities share a witness. The attestation of that witness was made before its acknowledgement,
/// so a majority of attestations is older than the limit once N+1 was accepted for that long.
///
/// Evidence that names pending publications counts only when all of them are held here, which
/// means that admission checks their sets together with the installed one.
class FreshnessRule {
 public:
  /// @param limit Greatest age of evidence.
  /// @param witnesses All witnesses of the settings, reachable or not.
  FreshnessRule(Duration limit, std::vector<HostId> witnesses);

  /// Adds the answer to an own question to the store or a peer.
  ///
  /// @param confirmed_at Send time of the question minus the age that the peer stated.
  /// @param pending Publications that the peer reported as pending.
  void Confirm(Epoch epoch, MonotonicTime confirmed_at,
               const std::vector<PublicationId>& pending = {});

  /// Adds the answer of a witness that the store does not answer it, with its epoch and the
  /// prepares above that epoch which it acknowledged. Answers of other hosts are ignored.
  void Attest(const HostId& witness, Epoch epoch, MonotonicTime asked_at,
              const std::vector<PublicationId>& pending = {});

  /// Sets the epoch in force here; a lower one than before is ignored.
  void Install(Epoch epoch);

  /// Admission checks the set of this publication from now on.
  void Hold(const PublicationId& publication);
  /// Ends the check of a publication that is known to be accepted or lost.
  void Release(const PublicationId& publication);

  Epoch epoch() const { return epoch_; }
  FreshnessVerdict Judge(MonotonicTime now) const;
  /// Age of the best evidence for the installed epoch; `Duration::max()` without any.
  Duration Age(MonotonicTime now) const;

 private:
  struct Evidence {
    Epoch epoch;
    MonotonicTime at;
  };

  bool HoldsAll(const std::vector<PublicationId>& pending) const;
  std::optional<MonotonicTime> ConfirmedAt() const;
  std::optional<MonotonicTime> AttestedAt() const;

  Duration limit_;
  std::vector<HostId> witnesses_;
  std::set<PublicationId> held_;
  std::unordered_map<HostId, Evidence> attestations_;
  std::optional<Evidence> confirmation_;
  Epoch epoch_;
  Epoch highest_;
};

}  // namespace bamboodock
