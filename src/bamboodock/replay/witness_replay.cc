#include "bamboodock/policy/witness_rule.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

class WitnessReplay final : public TableReplay<WitnessReplay> {
 public:
  WitnessReplay(const TraceFields& settings, const std::string& process)
      : rule_(HostId(process), ToIds<HostId>(settings.List("witnesses"))) {}

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"prepare", &WitnessReplay::Prepare, {"publication", "#next"}},
        {"learn", &WitnessReplay::Learn, {"#epoch", "accepted"}},
        {"learn_from_store", &WitnessReplay::LearnFromStore, {"#epoch", "accepted"}},
        {"learn_from_witness",
         &WitnessReplay::LearnFromWitness,
         {"witness", "complete", "#epoch", "pending", "next"}},
        {"drop", &WitnessReplay::Drop, {"publication"}},
        {"attestation", &WitnessReplay::Attestation, {"store_answers"}},
    };
    return kEvents;
  }

 private:
  std::string Prepare(const TraceLine& line) {
    const bool acknowledged = rule_.Acknowledge(PublicationId(line.fields.Text("publication")),
                                                Epoch(line.fields.Number("next")));
    return acknowledged ? "acknowledged" : "rejected";
  }

  std::string Learn(const TraceLine& line) {
    rule_.Learn(Epoch(line.fields.Number("epoch")), PublicationId(line.fields.Text("accepted")));
    return State();
  }

  std::string LearnFromStore(const TraceLine& line) {
    rule_.LearnFromStore(Epoch(line.fields.Number("epoch")),
                         PublicationId(line.fields.Text("accepted")));
    return State();
  }

  // "pending" lists the ids of pending publications; all of them are for the epoch "next".
  std::string LearnFromWitness(const TraceLine& line) {
    std::vector<PendingPublication> pending;
    for (const PublicationId& id : ToIds<PublicationId>(line.fields.List("pending"))) {
      pending.push_back({id, Epoch(line.fields.Number("next"))});
    }
    rule_.LearnFromWitness(HostId(line.fields.Text("witness")),
                           line.fields.Text("complete") == "true",
                           Epoch(line.fields.Number("epoch")), pending);
    return State();
  }

  std::string Drop(const TraceLine& line) {
    rule_.Drop(PublicationId(line.fields.Text("publication")));
    return State();
  }

  std::string Attestation(const TraceLine& line) {
    const bool store_answers = line.fields.Text("store_answers") == "true";
    const std::optional<Epoch> epoch = rule_.AttestationWithPending(store_answers);
    if (!epoch) return "none";
    std::string text = "epoch " + std::to_string(epoch->value());
    for (const PendingPublication& publication : rule_.pending()) {
      text += " pending " + publication.id.value();
    }
    return text;
  }

  std::string State() const { return rule_.complete() ? "complete" : "incomplete"; }

  WitnessRule rule_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeWitnessReplay(const TraceFields& settings,
                                              const std::string& process) {
  return std::make_unique<WitnessReplay>(settings, process);
}

}  // namespace bamboodock
