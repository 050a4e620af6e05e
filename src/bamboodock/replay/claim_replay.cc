#include "bamboodock/policy/claim_rule.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

const std::vector<std::pair<ClaimState, std::string_view>>& StateNames() {
  static const std::vector<std::pair<ClaimState, std::string_view>> kNames = {
      {ClaimState::kStarted, "started"},
      {ClaimState::kFinished, "finished"},
      {ClaimState::kReleased, "released"},
  };
  return kNames;
}

const std::vector<std::pair<ClaimWriteOutcome, std::string_view>>& OutcomeNames() {
  static const std::vector<std::pair<ClaimWriteOutcome, std::string_view>> kNames = {
      {ClaimWriteOutcome::kAnswerLost, "answer_lost"},
      {ClaimWriteOutcome::kWritten, "written"},
      {ClaimWriteOutcome::kConflict, "conflict"},
      {ClaimWriteOutcome::kNotSent, "not_sent"},
  };
  return kNames;
}

const std::vector<std::pair<ClaimStep, std::string_view>>& StepNames() {
  static const std::vector<std::pair<ClaimStep, std::string_view>> kNames = {
      {ClaimStep::kReadRow, "read_row"},
      {ClaimStep::kWriteRow, "write_row"},
      {ClaimStep::kReadBack, "read_back"},
      {ClaimStep::kRun, "run"},
      {ClaimStep::kAnswerStored, "answer_stored"},
      {ClaimStep::kAnswerUnknown, "answer_unknown"},
      {ClaimStep::kRefuseNotRun, "refuse_not_run"},
  };
  return kNames;
}

class ClaimReplay final : public TableReplay<ClaimReplay> {
 public:
  explicit ClaimReplay(const std::string& process) : owner_(process), rule_(ClaimRow()) {}

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"begin", &ClaimReplay::Begin, {"attempt", "call"}},
        {"row", &ClaimReplay::OnRow, {}},
        {"read_failed", &ClaimReplay::OnReadFailed, {}},
        {"write", &ClaimReplay::OnWrite, {"outcome"}},
    };
    return kEvents;
  }

 private:
  std::string Begin(const TraceLine& line) {
    if (line.fields.Has("incarnation")) owner_ = line.fields.Text("incarnation");
    rule_ = ClaimRule(Row(line, IncarnationId(owner_)));
    return Step();
  }

  // Without the field "attempt", the row is absent.
  std::string OnRow(const TraceLine& line) {
    std::optional<ClaimRow> row;
    if (line.fields.Has("attempt")) row = Row(line, IncarnationId(line.fields.Text("owner")));
    rule_.OnRow(row);
    return Step();
  }

  std::string OnReadFailed(const TraceLine&) {
    rule_.OnReadFailed();
    return Step();
  }

  std::string OnWrite(const TraceLine& line) {
    rule_.OnWrite(EnumFromName(OutcomeNames(), line.fields.Text("outcome")));
    return Step();
  }

  static ClaimRow Row(const TraceLine& line, IncarnationId owner) {
    ClaimRow row;
    row.attempt = AttemptId(line.fields.Text("attempt"));
    row.owner = std::move(owner);
    row.call = ObjectHash(line.fields.Text("call"));
    row.state = EnumFromName(StateNames(), line.fields.Text("state"));
    return row;
  }

  std::string Step() const {
    std::string text = EnumName(StepNames(), rule_.step());
    return rule_.release_later() ? text + " release_later" : text;
  }

  std::string owner_;
  ClaimRule rule_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeClaimReplay(const TraceFields&, const std::string& process) {
  return std::make_unique<ClaimReplay>(process);
}

}  // namespace bamboodock
