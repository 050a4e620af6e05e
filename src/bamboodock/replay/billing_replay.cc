#include "bamboodock/config/config.h"
#include "bamboodock/policy/billing_backlog.h"
#include "bamboodock/policy/billing_rule.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

class BillingReplay final : public TableReplay<BillingReplay> {
 public:
  explicit BillingReplay(const TraceFields& settings)
      : rule_(settings.Has("settle_ms") ? settings.Millis("settle_ms")
                                        : Duration(config::kSettleTimeout)),
        backlog_(settings.Has("capacity") ? settings.Number("capacity") : config::kLedgerCapacity) {
  }

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"reserve", &BillingReplay::Reserve, {}},
        {"add", &BillingReplay::Add, {"request", "holder", "#step", "#cost"}},
        {"due", &BillingReplay::Due, {}},
        {"row", &BillingReplay::OnRow, {"request", "#step"}},
        {"write", &BillingReplay::OnWrite, {"outcome"}},
        {"postpone", &BillingReplay::Postpone, {"request", "#until"}},
        {"confirm", &BillingReplay::Confirm, {"request", "#step"}},
    };
    return kEvents;
  }

 private:
  std::string Reserve(const TraceLine&) { return backlog_.Reserve() ? "reserved" : "full"; }

  std::string Add(const TraceLine& line) {
    const BillingHolder holder =
        line.fields.Text("holder") == "entry" ? BillingHolder::kEntry : BillingHolder::kSidecar;
    BillingRecord record;
    record.request = RequestId(line.fields.Text("request"));
    record.step = Step(line, "step");
    record.cost = CostMicros(line.fields.Number("cost"));
    backlog_.Add(std::move(record), rule_.WriteAt(holder, line.time));
    return "held " + std::to_string(backlog_.size());
  }

  std::string Due(const TraceLine& line) {
    const std::optional<BillingRecord> due = backlog_.Due(line.time);
    if (!due) return "none";
    return due->request.value() + " cost " + std::to_string(due->cost.value());
  }

  // "stored_step" is the step in the stored row; without the field, the row is absent.
  std::string OnRow(const TraceLine& line) {
    BillingRecord own;
    own.step = Step(line, "step");
    std::optional<BillingRecord> stored;
    if (line.fields.Has("stored_step")) {
      stored.emplace();
      stored->step = Step(line, "stored_step");
    }
    return BillingRule::OnRow(stored, own) == BillingStep::kWrite ? "write" : "confirmed";
  }

  std::string OnWrite(const TraceLine& line) {
    static const std::vector<std::pair<BillingWriteOutcome, std::string_view>> kOutcomes = {
        {BillingWriteOutcome::kAnswerLost, "answer_lost"},
        {BillingWriteOutcome::kWritten, "written"},
        {BillingWriteOutcome::kConflict, "conflict"},
        {BillingWriteOutcome::kNotSent, "not_sent"},
    };
    static const std::vector<std::pair<BillingWriteAction, std::string_view>> kNames = {
        {BillingWriteAction::kConfirmed, "confirmed"},
        {BillingWriteAction::kReadAgain, "read_again"},
        {BillingWriteAction::kWait, "wait"},
    };
    return EnumName(kNames,
                    BillingRule::OnWrite(EnumFromName(kOutcomes, line.fields.Text("outcome"))));
  }

  std::string Postpone(const TraceLine& line) {
    backlog_.Postpone(RequestId(line.fields.Text("request")), line.fields.Time("until"));
    return "held " + std::to_string(backlog_.size());
  }

  std::string Confirm(const TraceLine& line) {
    backlog_.Confirm(RequestId(line.fields.Text("request")), Step(line, "step"));
    return "held " + std::to_string(backlog_.size());
  }

  static StepNumber Step(const TraceLine& line, std::string_view name) {
    return StepNumber(static_cast<std::uint32_t>(line.fields.Number(name)));
  }

  BillingRule rule_;
  BillingBacklog backlog_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeBillingReplay(const TraceFields& settings, const std::string&) {
  return std::make_unique<BillingReplay>(settings);
}

}  // namespace bamboodock
