#include "bamboodock/policy/lease_rule.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

class LeaseReplay final : public TableReplay<LeaseReplay> {
 public:
  LeaseReplay(const TraceFields& settings, const std::string& process)
      : rule_(IncarnationId(process), settings.Millis("duration_ms"),
              settings.Millis("margin_ms")) {}

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"acquired", &LeaseReplay::Acquired, {"#fencing", "#sent"}},
        {"row", &LeaseReplay::OnRow, {"holder", "#fencing", "changed"}},
        {"fencing_seen", &LeaseReplay::OnFencingSeen, {"#fencing"}},
        {"may_take_over", &LeaseReplay::MayTakeOver, {}},
        {"order", &LeaseReplay::Order, {"#decided", "#known"}},
    };
    return kEvents;
  }

 private:
  std::string Acquired(const TraceLine& line) {
    rule_.OnAcquired(FencingToken(line.fields.Number("fencing")), line.fields.Time("sent"));
    return "acquired";
  }

  std::string OnRow(const TraceLine& line) {
    rule_.OnRow(
        {IncarnationId(line.fields.Text("holder")), FencingToken(line.fields.Number("fencing"))},
        line.fields.Text("changed") == "true", line.time);
    return MayTakeOver(line);
  }

  std::string OnFencingSeen(const TraceLine& line) {
    rule_.OnFencingSeen(FencingToken(line.fields.Number("fencing")));
    return "seen";
  }

  std::string MayTakeOver(const TraceLine& line) {
    if (!rule_.MayTakeOver(line.time)) return "wait";
    return "take over as " + std::to_string(rule_.NextFencing().value());
  }

  std::string Order(const TraceLine& line) {
    static const std::vector<std::pair<LeaseVerdict, std::string_view>> kNames = {
        {LeaseVerdict::kAllowed, "allowed"},        {LeaseVerdict::kNoLease, "no_lease"},
        {LeaseVerdict::kExpired, "expired"},        {LeaseVerdict::kSuperseded, "superseded"},
        {LeaseVerdict::kStaleEpoch, "stale_epoch"},
    };
    return EnumName(kNames, rule_.Judge(line.time, Epoch(line.fields.Number("decided")),
                                        Epoch(line.fields.Number("known"))));
  }

  LeaseRule rule_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeLeaseReplay(const TraceFields& settings,
                                            const std::string& process) {
  return std::make_unique<LeaseReplay>(settings, process);
}

}  // namespace bamboodock
