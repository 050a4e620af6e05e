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
  /// There is no evidence within the limit; refuse with "not run".
  kNotFresh,
  /// A higher epoch is known to be accepted; install it first.
  kBehind,
};

/// Decides whether the installed configuration is known to be the newest one.
///
/// A publisher commits epoch N+1 only after a majority of the witnesses acknowledged it, and two
/// majorities share a witness. The attestation of that witness was made before its acknowledgement,
/// so a majority of attestations is older than the limit once N+1 has been accepted for that long.
///
/// Evidence that names pending publications counts only when all of them are held here, that is,
/// when admission checks their object sets together with the installed one.
class FreshnessRule {
 public:
  /// @param limit Maximum age of evidence.
  /// @param witnesses All configured witnesses, reachable or not.
  FreshnessRule(Duration limit, std::vector<HostId> witnesses);

  /// Adds the answer of the store or a peer to a query of this process.
  ///
  /// @param confirmed_at Send time of the query minus the age that the peer reported.
  /// @param pending Publications that the peer reported as pending.
  void Confirm(Epoch epoch, MonotonicTime confirmed_at,
               const std::vector<PublicationId>& pending = {});

  /// Adds the attestation of a witness that cannot reach the store: its epoch, and the publications
  /// above that epoch whose prepare it acknowledged. Attestations of other hosts are ignored.
  ///
  /// @param asked_at Send time of the query that the witness answered.
  void Attest(const HostId& witness, Epoch epoch, MonotonicTime asked_at,
              const std::vector<PublicationId>& pending = {});

  /// Sets the installed epoch; an epoch lower than the present one is ignored.
  void Install(Epoch epoch);

  /// Records that admission checks the set of this publication from now on.
  void Hold(const PublicationId& publication);
  /// Records that admission no longer checks the set of this publication, whose outcome is known.
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
