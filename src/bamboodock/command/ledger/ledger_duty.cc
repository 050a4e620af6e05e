#include "bamboodock/command/ledger/ledger_duty.h"

#include <algorithm>
#include <array>
#include <utility>

#include "bamboodock/codec/row_codec.h"

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{1000};
constexpr std::chrono::milliseconds kIdleInterval{10000};
/// Maximum number of read and write rounds for one record before it is postponed.
constexpr int kMaxWriteRounds = 3;

BillingWriteOutcome ToOutcome(ResultCode code) {
  constexpr std::array kOutcomes{
      std::pair{ResultCode::kOk, BillingWriteOutcome::kWritten},
      std::pair{ResultCode::kStoreConflict, BillingWriteOutcome::kConflict},
      std::pair{ResultCode::kStoreUnavailable, BillingWriteOutcome::kNotSent},
  };
  for (const auto& [from, outcome] : kOutcomes) {
    if (from == code) return outcome;
  }
  return BillingWriteOutcome::kAnswerLost;
}

}  // namespace

LedgerDuty::LedgerDuty(Parts parts)
    : parts_(parts), rule_(config::kSettleTimeout), backlog_(config::kLedgerCapacity) {}

bool LedgerDuty::TryReserve() {
  std::size_t held = held_;
  do {
    if (held >= config::kLedgerCapacity) return false;
  } while (!held_.compare_exchange_weak(held, held + 1));
  return true;
}

void LedgerDuty::CancelReservation() {
  {
    // Without the lock a waiter could miss the change between its check and its wait.
    const std::lock_guard lock(held_mutex_);
    --held_;
  }
  held_changed_.notify_all();
}

bool LedgerDuty::WaitUntilConfirmed(MonotonicTime deadline) {
  std::unique_lock lock(held_mutex_);
  return held_changed_.wait_until(lock, deadline, [this] { return held_ == 0; });
}

void LedgerDuty::Handle(LedgerCommand& command) {
  std::visit([this](auto& c) { Apply(c); }, command);
}

MonotonicTime LedgerDuty::Tick() {
  const auto now = std::chrono::steady_clock::now();
  if (const std::optional<BillingRecord> due = backlog_.Due(now)) {
    if (parts_.holder == BillingHolder::kSidecar) {
      parts_.timeline.Record(Event::kBillingTakenOver, due->request, "");
    }
    if (Write(*due) == BillingNextAction::kConfirmed) {
      Confirm(*due);
    } else {
      backlog_.Postpone(due->request, now + kRetryInterval);
    }
  }
  return NextDue();
}

MonotonicTime LedgerDuty::NextDue() const {
  return backlog_.NextDue().value_or(std::chrono::steady_clock::now() + kIdleInterval);
}

void LedgerDuty::Apply(HoldRecordCommand& command) {
  const RequestId request = command.record.request;
  const std::size_t before = backlog_.size();
  backlog_.Reserve();
  backlog_.Add(std::move(command.record),
               rule_.WriteAt(parts_.holder, std::chrono::steady_clock::now()));
  if (backlog_.size() == before) CancelReservation();
  endpoints_[request] = command.endpoint;
  parts_.timeline.Record(Event::kBillingHeld, request, "");
}

void LedgerDuty::Apply(SettledCommand& command) {
  parts_.timeline.Record(Event::kBillingSettled, command.request, "");
  Remove(command.request, command.step);
}

BillingNextAction LedgerDuty::Write(const BillingRecord& record) {
  const std::string key = BillingKey(record.request);
  for (int round = 0; round < kMaxWriteRounds; ++round) {
    const BillingNextAction next = HandleFailure(
        [&]() -> Result<BillingNextAction> {
          BOOST_LEAF_AUTO(row, parts_.queries.Read(key));
          std::optional<BillingRecord> stored;
          RowVersion version;
          if (row) {
            BOOST_LEAF_ASSIGN(stored, DecodeBillingRecord(row->value));
            version = row->version;
          }
          if (BillingRule::OnRow(stored, record) == BillingRowAction::kConfirmed) {
            return BillingNextAction::kConfirmed;
          }
          TableTransaction transaction;
          transaction.conditions = {{key, version}};
          transaction.puts = {{key, EncodeRow(record)}};
          BOOST_LEAF_CHECK(parts_.commands.Commit(transaction));
          parts_.timeline.Record(Event::kBillingWritten, record.request,
                                 "cost=" + std::to_string(record.cost.value()));
          return BillingNextAction::kConfirmed;
        },
        [](const Failure& failure) { return BillingRule::OnWrite(ToOutcome(failure.code)); });
    if (next != BillingNextAction::kReadAgain) return next;
  }
  return BillingNextAction::kWait;
}

void LedgerDuty::Confirm(const BillingRecord& record) {
  const EndpointId endpoint = endpoints_[record.request];
  Remove(record.request, record.step);
  if (parts_.listener != nullptr && !endpoint.empty()) {
    parts_.listener->OnConfirmed(record, endpoint);
  }
}

void LedgerDuty::Remove(const RequestId& request, StepNumber step) {
  if (!backlog_.Confirm(request, step)) return;
  endpoints_.erase(request);
  CancelReservation();
}

}  // namespace bamboodock
