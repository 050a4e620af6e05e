#include "bamboodock/command/sidecar/claim_duty.h"

#include <algorithm>
#include <utility>

#include "bamboodock/codec/digest.h"
#include "bamboodock/codec/row_codec.h"

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kReleaseInterval{1000};
/// Limit on claims waiting for release; further claims stay in the store until an operator handles
/// them.
constexpr std::size_t kMaxPendingReleases = 1024;
/// A larger answer body is not stored; a repeat of the key is then answered without a body.
constexpr std::size_t kMaxStoredBodyBytes = 65536;

ClaimWriteOutcome ToWriteOutcome(ResultCode code) {
  if (code == ResultCode::kStoreConflict) return ClaimWriteOutcome::kConflict;
  if (code == ResultCode::kStoreUnavailable) return ClaimWriteOutcome::kNotSent;
  return ClaimWriteOutcome::kAnswerLost;
}

std::string ClaimKeyFor(const AttemptStartMessage& start) {
  return ClaimKey(start.account, start.idempotency_key);
}

}  // namespace

void ClaimDuty::Handle(ClaimCommand& command) {
  std::visit([this](auto& c) { Apply(c); }, command);
}

MonotonicTime ClaimDuty::Tick() {
  std::erase_if(pending_releases_, [this](const PendingRelease& pending_release) {
    return TryReleaseClaimRow(pending_release.key, pending_release.attempt);
  });
  return std::chrono::steady_clock::now() + kReleaseInterval;
}

void ClaimDuty::Apply(AdmittedAttempt& admitted) {
  const std::string key = ClaimKeyFor(admitted.start);
  ClaimRule rule(MakeClaimRow(admitted.start));
  ExecuteClaimRule(key, rule);
  if (rule.release_later() && pending_releases_.size() < kMaxPendingReleases) {
    pending_releases_.push_back({key, admitted.start.attempt});
  }
  switch (rule.step()) {
    case ClaimStep::kRun:
      ForwardToRunners(admitted);
      return;
    case ClaimStep::kAnswerStored:
      ReplayStoredAnswer(admitted, rule.stored());
      return;
    case ClaimStep::kAnswerUnknown:
      Withdraw(admitted, rule.code(), RunState::kUnknown);
      return;
    default:
      Withdraw(admitted, rule.code(), RunState::kNotRun);
      return;
  }
}

void ClaimDuty::Apply(FinishClaimCommand& command) {
  const std::string key = ClaimKeyFor(command.start);
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(stored, ReadClaimRow(key));
        if (!stored.row || stored.row->attempt != command.start.attempt) return false;
        ClaimRow row = *stored.row;
        row.state = ClaimState::kFinished;
        row.status = command.status;
        if (command.body.size() <= kMaxStoredBodyBytes) row.body = command.body;
        TableTransaction transaction;
        transaction.conditions = {{key, stored.version}};
        transaction.puts = {{key, EncodeRow(row)}};
        BOOST_LEAF_CHECK(parts_.commands.Commit(transaction));
        return true;
      },
      [&](const Failure& failure) {
        // The row stays in state kStarted: a repeat of the key is answered as unknown and never
        // runs.
        parts_.timeline.Record(Event::kClaimFailed, command.start.request, failure.detail);
        return false;
      });
  command.log->Finish(std::move(command.end_message));
}

ClaimRow ClaimDuty::MakeClaimRow(const AttemptStartMessage& start) const {
  ClaimRow row;
  row.attempt = start.attempt;
  row.owner = parts_.incarnation;
  row.call = ObjectHash(Sha256Hex(start.method + " " + start.path + "\n" + start.body));
  return row;
}

Result<ClaimDuty::StoredClaim> ClaimDuty::ReadClaimRow(const std::string& key) {
  StoredClaim stored;
  BOOST_LEAF_AUTO(row, parts_.queries.Read(key));
  if (!row) return stored;
  BOOST_LEAF_ASSIGN(stored.row, DecodeClaimRow(row->value));
  stored.version = row->version;
  return stored;
}

void ClaimDuty::ExecuteClaimRule(const std::string& key, ClaimRule& rule) {
  RowVersion version;
  while (true) {
    switch (rule.step()) {
      case ClaimStep::kReadRow:
      case ClaimStep::kReadBack:
        HandleFailure(
            [&]() -> Result<bool> {
              BOOST_LEAF_AUTO(stored, ReadClaimRow(key));
              version = stored.version;
              rule.OnRow(stored.row);
              return true;
            },
            [&](const Failure& /*failure*/) {
              rule.OnReadFailed();
              return false;
            });
        break;
      case ClaimStep::kWriteRow:
        WriteClaimRow(key, version, rule);
        break;
      default:
        return;
    }
  }
}

void ClaimDuty::WriteClaimRow(const std::string& key, RowVersion version, ClaimRule& rule) {
  TableTransaction transaction;
  transaction.conditions = {{key, version}};
  transaction.puts = {{key, EncodeRow(rule.own_row())}};
  const ClaimWriteOutcome outcome = HandleFailure(
      [&]() -> Result<ClaimWriteOutcome> {
        BOOST_LEAF_CHECK(parts_.commands.Commit(transaction));
        return ClaimWriteOutcome::kWritten;
      },
      [](const Failure& failure) { return ToWriteOutcome(failure.code); });
  rule.OnWrite(outcome);
}

void ClaimDuty::ForwardToRunners(AdmittedAttempt& admitted) {
  parts_.timeline.Record(Event::kClaimWritten, admitted.start.request,
                         admitted.start.attempt.value());
  const AttemptStartMessage start = admitted.start;
  if (parts_.runners.TryPush(admitted)) return;
  pending_releases_.push_back({ClaimKeyFor(start), start.attempt});
  Withdraw(admitted, ResultCode::kRingFull, RunState::kNotRun);
}

void ClaimDuty::ReplayStoredAnswer(const AdmittedAttempt& admitted, const ClaimRow& row) {
  parts_.timeline.Record(Event::kClaimFound, admitted.start.request, row.attempt.value());
  HeadMessage head;
  head.status = row.status;
  head.headers = {{"Idempotency-Replayed", "true"}};
  admitted.log->Append(EncodeMessage(SidecarMessage(head)));
  EndMessage end;
  if (!row.body.empty()) {
    admitted.log->Append(EncodeMessage(SidecarMessage(ChunkMessage{SequenceNumber(0), row.body})));
    end.count = SequenceNumber(1);
  }
  admitted.log->Finish(EncodeMessage(SidecarMessage(end)));
  admission_->PostUntil(AnswerReplayedCommand{admitted.start.attempt},
                        std::chrono::steady_clock::now() + config::kGracePeriod);
}

void ClaimDuty::Withdraw(const AdmittedAttempt& admitted, ResultCode code, RunState run) {
  parts_.timeline.Record(Event::kClaimFailed, admitted.start.request, std::string(Name(code)));
  const Failure failure{code, "the attempt did not run under a claim of its own", run,
                        kReleaseInterval};
  admission_->PostUntil(WithdrawCommand{admitted.start.attempt, failure},
                        std::chrono::steady_clock::now() + config::kGracePeriod);
}

bool ClaimDuty::TryReleaseClaimRow(const std::string& key, const AttemptId& attempt) {
  return HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(stored, ReadClaimRow(key));
        if (!stored.row || stored.row->attempt != attempt) return true;
        ClaimRow row = *stored.row;
        row.state = ClaimState::kReleased;
        TableTransaction transaction;
        transaction.conditions = {{key, stored.version}};
        transaction.puts = {{key, EncodeRow(row)}};
        BOOST_LEAF_CHECK(parts_.commands.Commit(transaction));
        return true;
      },
      [](const Failure& /*failure*/) { return false; });
}

}  // namespace bamboodock
