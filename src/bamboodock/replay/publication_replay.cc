#include "bamboodock/policy/publication_rule.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

const std::vector<std::pair<PublicationStep, std::string_view>>& StepNames() {
  static const std::vector<std::pair<PublicationStep, std::string_view>> kNames = {
      {PublicationStep::kReadPublication, "read_publication"},
      {PublicationStep::kReadHead, "read_head"},
      {PublicationStep::kPutObject, "put_object"},
      {PublicationStep::kPrepare, "prepare"},
      {PublicationStep::kConfirmPrepare, "confirm_prepare"},
      {PublicationStep::kCommit, "commit"},
      {PublicationStep::kReadBack, "read_back"},
      {PublicationStep::kAccepted, "accepted"},
      {PublicationStep::kConflict, "conflict"},
      {PublicationStep::kFailed, "failed"},
      {PublicationStep::kUnknown, "unknown"},
  };
  return kNames;
}

const std::vector<std::pair<CommitOutcome, std::string_view>>& OutcomeNames() {
  static const std::vector<std::pair<CommitOutcome, std::string_view>> kNames = {
      {CommitOutcome::kAnswerLost, "answer_lost"},
      {CommitOutcome::kCommitted, "committed"},
      {CommitOutcome::kConflict, "conflict"},
      {CommitOutcome::kNotSent, "not_sent"},
  };
  return kNames;
}

class PublicationReplay final : public TableReplay<PublicationReplay> {
 public:
  explicit PublicationReplay(const TraceFields& settings)
      : witnesses_(ToIds<HostId>(settings.List("witnesses"))), rule_(PublicationId(), witnesses_) {}

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"begin", &PublicationReplay::Begin, {"publication"}},
        {"publication_row", &PublicationReplay::OnRow, {}},
        {"head", &PublicationReplay::OnHead, {"publication", "#epoch"}},
        {"object_put", &PublicationReplay::OnObjectPut, {}},
        {"prepare_answer", &PublicationReplay::OnAnswer, {"witness", "incarnation"}},
        {"prepare_end", &PublicationReplay::OnPrepareEnd, {}},
        {"commit", &PublicationReplay::OnCommit, {"outcome"}},
        {"read_back", &PublicationReplay::OnReadBack, {"head", "#head_epoch"}},
        {"store_unavailable", &PublicationReplay::OnStoreUnavailable, {}},
    };
    return kEvents;
  }

 private:
  std::string Begin(const TraceLine& line) {
    rule_ = PublicationRule(PublicationId(line.fields.Text("publication")), witnesses_);
    return Step();
  }

  std::string OnRow(const TraceLine& line) {
    rule_.OnPublication(Row(line));
    return Step();
  }

  std::string OnHead(const TraceLine& line) {
    std::optional<Epoch> expected;
    if (line.fields.Has("expected")) expected = Epoch(line.fields.Number("expected"));
    rule_.OnHead(
        {PublicationId(line.fields.Text("publication")), Epoch(line.fields.Number("epoch"))},
        expected);
    return Step();
  }

  std::string OnObjectPut(const TraceLine&) {
    rule_.OnObjectPut();
    return Step();
  }

  std::string OnAnswer(const TraceLine& line) {
    rule_.OnPrepareAnswer(HostId(line.fields.Text("witness")),
                          IncarnationId(line.fields.Text("incarnation")),
                          line.fields.Text("acknowledged") != "false");
    return Step();
  }

  std::string OnPrepareEnd(const TraceLine&) {
    rule_.OnPrepareEnd();
    return Step();
  }

  std::string OnCommit(const TraceLine& line) {
    rule_.OnCommit(EnumFromName(OutcomeNames(), line.fields.Text("outcome")));
    return Step();
  }

  std::string OnReadBack(const TraceLine& line) {
    rule_.OnReadBack(Row(line), {PublicationId(line.fields.Text("head")),
                                 Epoch(line.fields.Number("head_epoch"))});
    return Step();
  }

  std::string OnStoreUnavailable(const TraceLine&) {
    rule_.OnStoreUnavailable();
    return Step();
  }

  // "row_epoch" is the epoch in the row `publications/<id>`; without the field, the row is absent.
  std::optional<AcceptedPublication> Row(const TraceLine& line) const {
    if (!line.fields.Has("row_epoch")) return std::nullopt;
    return AcceptedPublication{rule_.id(), Epoch(line.fields.Number("row_epoch"))};
  }

  std::string Step() const {
    std::string text = EnumName(StepNames(), rule_.step());
    if (rule_.step() == PublicationStep::kConflict) text += " with " + rule_.winner().value();
    if (rule_.step() == PublicationStep::kAccepted) {
      text += " at " + std::to_string(rule_.accepted().value());
    }
    if (rule_.step() == PublicationStep::kFailed) text += " " + std::string(Name(rule_.failure()));
    return text;
  }

  std::vector<HostId> witnesses_;
  PublicationRule rule_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakePublicationReplay(const TraceFields& settings, const std::string&) {
  return std::make_unique<PublicationReplay>(settings);
}

}  // namespace bamboodock
