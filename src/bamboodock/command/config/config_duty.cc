#include "bamboodock/command/config/config_duty.h"

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kTickInterval{500};
/// Maximum number of prepared sets that a process checks concurrently; further ones are refused.
constexpr std::size_t kMaxPendingSets = 16;

}  // namespace

bool ConfigSnapshot::IsFresh(MonotonicTime now) const {
  const FreshnessVerdict verdict = freshness_.Judge(now);
  return verdict == FreshnessVerdict::kFresh || verdict == FreshnessVerdict::kFreshByWitnesses;
}

ConfigDuty::ConfigDuty(const HostId& self, const std::vector<HostId>& witnesses,
                       TimelineDuty& timeline)
    : timeline_(timeline),
      freshness_(config::kFreshnessLimit, witnesses),
      witness_(self, witnesses, kMaxPendingSets),
      is_witness_(std::find(witnesses.begin(), witnesses.end(), self) != witnesses.end()) {
  PublishSnapshot();
}

void ConfigDuty::Handle(ConfigCommand& command) {
  std::visit([this](auto& c) { Apply(c); }, command);
  PublishSnapshot();
}

MonotonicTime ConfigDuty::Tick() {
  RecordFreshnessChange();
  return std::chrono::steady_clock::now() + kTickInterval;
}

void ConfigDuty::Apply(InstallCommand& command) {
  const Epoch epoch = command.set.epoch;
  if (command.from_store) {
    witness_.LearnFromStore(epoch, command.set.publication);
  } else {
    witness_.Learn(epoch, command.set.publication);
  }
  if (epoch <= current_.epoch) return;
  current_ = std::move(command.set);
  freshness_.Install(epoch);
  ReleaseDecided();
  timeline_.Record(
      Event::kConfigInstalled, RequestId(),
      "epoch=" + std::to_string(epoch.value()) + " publication=" + current_.publication.value());
}

void ConfigDuty::Apply(ConfirmCommand& command) {
  freshness_.Confirm(command.epoch, command.confirmed_at, command.pending);
}

void ConfigDuty::Apply(WitnessCommand& command) {
  witness_.LearnFromWitness(command.witness, command.complete, command.epoch, command.pending);
  if (!command.attests) return;
  std::vector<PublicationId> pending;
  for (const PendingPublication& prepared : command.pending) pending.push_back(prepared.id);
  freshness_.Attest(command.witness, command.epoch, command.asked_at, pending);
}

void ConfigDuty::Apply(PrepareCommand& command) {
  const PendingPublication publication{command.set.publication, command.set.epoch};
  const bool known = std::any_of(pending_.begin(), pending_.end(), [&](const PublishedSet& set) {
    return set.publication == publication.id;
  });
  // The set is held before the acknowledgement is sent, so that no later attestation omits it.
  bool acknowledged = known || Hold(command.set);
  acknowledged = acknowledged && witness_.Acknowledge(publication.id, publication.next);
  if (acknowledged && !known) {
    timeline_.Record(Event::kPublishPrepared, RequestId(),
                     "epoch=" + std::to_string(publication.next.value()) +
                         " publication=" + publication.id.value());
  }
  PublishSnapshot();
  command.reply->TryPush(acknowledged);
}

void ConfigDuty::Apply(HoldPreparedSetsCommand& command) {
  for (const PublishedSet& set : command.sets) Hold(set);
}

void ConfigDuty::Apply(StoreStateCommand& command) {
  if (command.answers != store_answers_) {
    timeline_.Record(command.answers ? Event::kStoreBack : Event::kStoreFailed, RequestId(), "");
  }
  store_answers_ = command.answers;
}

bool ConfigDuty::Hold(const PublishedSet& set) {
  if (set.epoch <= current_.epoch) return false;
  const auto same = [&](const PublishedSet& held) { return held.publication == set.publication; };
  if (std::any_of(pending_.begin(), pending_.end(), same)) return true;
  if (pending_.size() >= kMaxPendingSets) return false;
  pending_.push_back(set);
  freshness_.Hold(set.publication);
  return true;
}

void ConfigDuty::ReleaseDecided() {
  const auto decided = [this](const PublishedSet& set) { return set.epoch <= current_.epoch; };
  for (const PublishedSet& set : pending_) {
    if (decided(set)) freshness_.Release(set.publication);
  }
  std::erase_if(pending_, decided);
}

void ConfigDuty::RecordFreshnessChange() {
  const bool fresh = snapshot_.Load()->IsFresh(std::chrono::steady_clock::now());
  if (fresh == was_fresh_) return;
  was_fresh_ = fresh;
  timeline_.Record(fresh ? Event::kFreshnessRegained : Event::kFreshnessLost, RequestId(),
                   "epoch=" + std::to_string(current_.epoch.value()));
}

void ConfigDuty::PublishSnapshot() {
  auto snapshot = MakeRef<ConfigSnapshot>(current_, pending_, freshness_);
  if (is_witness_) {
    snapshot->SetWitnessState(witness_.AttestationWithPending(store_answers_).has_value(),
                              witness_.complete());
  }
  snapshot_.Store(snapshot);
}

}  // namespace bamboodock
