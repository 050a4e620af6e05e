#include "bamboodock/command/sidecar/claim_duty.h"

#include <algorithm>
#include <utility>

#include "bamboodock/codec/digest.h"
#include "bamboodock/codec/row_codec.h"

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kReleaseInterval{1000};
/// Bound on the rows waiting for release; further ones stay until an operator looks at them.
constexpr std::size_t kMostReleases = 1024;
/// A larger answer is not stored, and a repeat of its key is answered without a body.
constexpr std::size_t kMaxStoredBody = 65536;

ClaimWriteOutcome ToOutcome(ResultCode code) {
  if (code == ResultCode::kStoreConflict) return ClaimWriteOutcome::kConflict;
  if (code == ResultCode::kStoreUnavailable) return ClaimWriteOutcome::kNotSent;
  return ClaimWriteOutcome::kAnswerLost;
}

std::string KeyOf(const AttemptStartMessage& start) {
  return ClaimKey(start.account, start.idempotency_key);
}

}  // namespace

void ClaimDuty::Handle(ClaimCommand& command) {
  std::visit([this](auto& c) { Apply(c); }, command);
}

MonotonicTime ClaimDuty::Tick() {
  std::erase_if(releases_, [this](const Release& release) {
    return ReleaseRow(release.key, release.attempt);
  });
  return std::chrono::steady_clock::now() + kReleaseInterval;
}

void ClaimDuty::Apply(Work& work) {
  const std::string key = KeyOf(work.start);
  ClaimRule rule(RowFor(work.start));
  Claim(key, rule);
  if (rule.release_later() && releases_.size() < kMostReleases) {
    releases_.push_back({key, work.start.attempt});
  }
  switch (rule.step()) {
    case ClaimStep::kRun:
      Run(work);
      return;
    case ClaimStep::kAnswerStored:
      AnswerStored(work, rule.stored());
      return;
    case ClaimStep::kAnswerUnknown:
      Withdraw(work, rule.code(), RunState::kUnknown);
      return;
    default:
      Withdraw(work, rule.code(), RunState::kNotRun);
      return;
  }
}

void ClaimDuty::Apply(FinishClaimCommand& command) {
  const std::string key = KeyOf(command.start);
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(stored, ReadRow(key));
        if (!stored.row || stored.row->attempt != command.start.attempt) return false;
        ClaimRow row = *stored.row;
        row.state = ClaimState::kFinished;
        row.status = command.status;
        if (command.body.size() <= kMaxStoredBody) row.body = command.body;
        TableTransaction transaction;
        transaction.conditions = {{key, stored.version}};
        transaction.puts = {{key, EncodeRow(row)}};
        BOOST_LEAF_CHECK(parts_.commands.Commit(transaction));
        return true;
      },
      [&](const Failure& failure) {
        // The row stays "started": a repeat of the key is answered "unknown" and never runs.
        parts_.timeline.Record(Event::kClaimFailed, command.start.request, failure.detail);
        return false;
      });
  command.log->Finish(std::move(command.end));
}

ClaimRow ClaimDuty::RowFor(const AttemptStartMessage& start) const {
  ClaimRow row;
  row.attempt = start.attempt;
  row.owner = parts_.incarnation;
  row.call = ObjectHash(Sha256Hex(start.method + " " + start.path + "\n" + start.body));
  return row;
}

Result<ClaimDuty::StoredClaim> ClaimDuty::ReadRow(const std::string& key) {
  StoredClaim stored;
  BOOST_LEAF_AUTO(row, parts_.queries.Read(key));
  if (!row) return stored;
  BOOST_LEAF_ASSIGN(stored.row, DecodeClaimRow(row->value));
  stored.version = row->version;
  return stored;
}

void ClaimDuty::Claim(const std::string& key, ClaimRule& rule) {
  RowVersion version;
  while (true) {
    switch (rule.step()) {
      case ClaimStep::kReadRow:
      case ClaimStep::kReadBack:
        HandleFailure(
            [&]() -> Result<bool> {
              BOOST_LEAF_AUTO(stored, ReadRow(key));
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
        Write(key, version, rule);
        break;
      default:
        return;
    }
  }
}

void ClaimDuty::Write(const std::string& key, RowVersion version, ClaimRule& rule) {
  TableTransaction transaction;
  transaction.conditions = {{key, version}};
  transaction.puts = {{key, EncodeRow(rule.own_row())}};
  const ClaimWriteOutcome outcome = HandleFailure(
      [&]() -> Result<ClaimWriteOutcome> {
        BOOST_LEAF_CHECK(parts_.commands.Commit(transaction));
        return ClaimWriteOutcome::kWritten;
      },
      [](const Failure& failure) { return ToOutcome(failure.code); });
  rule.OnWrite(outcome);
}

void ClaimDuty::Run(Work& work) {
  parts_.timeline.Record(Event::kClaimWritten, work.start.request, work.start.attempt.value());
  const AttemptStartMessage start = work.start;
  if (parts_.runners.Accept(work)) return;
  releases_.push_back({KeyOf(start), start.attempt});
  Withdraw(work, ResultCode::kRingFull, RunState::kNotRun);
}

void ClaimDuty::AnswerStored(const Work& work, const ClaimRow& row) {
  parts_.timeline.Record(Event::kClaimFound, work.start.request, row.attempt.value());
  HeadMessage head;
  head.status = row.status;
  head.headers = {{"Idempotency-Replayed", "true"}};
  work.log->Append(EncodeMessage(SidecarMessage(head)));
  EndMessage end;
  if (!row.body.empty()) {
    work.log->Append(EncodeMessage(SidecarMessage(ChunkMessage{SequenceNumber(0), row.body})));
    end.count = SequenceNumber(1);
  }
  work.log->Finish(EncodeMessage(SidecarMessage(end)));
  admission_->PostUntil(AnsweredCommand{work.start.attempt},
                        std::chrono::steady_clock::now() + config::kGracePeriod);
}

void ClaimDuty::Withdraw(const Work& work, ResultCode code, RunState run) {
  parts_.timeline.Record(Event::kClaimFailed, work.start.request, std::string(Name(code)));
  const Failure failure{code, "the call has no claim of its own", run, kReleaseInterval};
  admission_->PostUntil(WithdrawCommand{work.start.attempt, failure},
                        std::chrono::steady_clock::now() + config::kGracePeriod);
}

bool ClaimDuty::ReleaseRow(const std::string& key, const AttemptId& attempt) {
  return HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(stored, ReadRow(key));
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
