#include "bamboodock/config/config.h"
#include "bamboodock/policy/attempt_registry.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

// The incarnation of the sidecar is the process name until a `boot` event sets another one.
class AttemptReplay final : public TableReplay<AttemptReplay> {
 public:
  AttemptReplay(const TraceFields& settings, const std::string& process)
      : capacity_(settings.Has("capacity") ? settings.Number("capacity") : 1024),
        margin_(settings.Has("margin_ms") ? settings.Millis("margin_ms")
                                          : Duration(config::kAttemptMargin)),
        registry_(MakeRegistry(process)) {}

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"boot", &AttemptReplay::Boot, {"incarnation"}},
        {"start", &AttemptReplay::Start, {"attempt", "incarnation", "#deadline"}},
        {"refuse", &AttemptReplay::Refuse, {"attempt", "incarnation", "#deadline", "code"}},
        {"withdraw", &AttemptReplay::Withdraw, {"attempt", "code"}},
        {"finish", &AttemptReplay::Finish, {"attempt"}},
        {"look", &AttemptReplay::Lookup, {"attempt"}},
        {"expire", &AttemptReplay::Expire, {}},
    };
    return kEvents;
  }

 private:
  std::unique_ptr<AttemptRegistry> MakeRegistry(const std::string& incarnation) const {
    return std::make_unique<AttemptRegistry>(IncarnationId(incarnation), capacity_, margin_);
  }

  static AttemptStart StartMessage(const TraceLine& line) {
    return {AttemptId(line.fields.Text("attempt")), IncarnationId(line.fields.Text("incarnation")),
            line.fields.Time("deadline")};
  }

  std::string Boot(const TraceLine& line) {
    registry_ = MakeRegistry(line.fields.Text("incarnation"));
    return "booted";
  }

  std::string Start(const TraceLine& line) {
    return Describe(registry_->Start(StartMessage(line), line.time));
  }

  std::string Refuse(const TraceLine& line) {
    const ResultCode code = ResultCodeFromName(line.fields.Text("code"));
    return Describe(registry_->Refuse(StartMessage(line), code, line.time));
  }

  std::string Withdraw(const TraceLine& line) {
    const ResultCode code = ResultCodeFromName(line.fields.Text("code"));
    return registry_->Withdraw(AttemptId(line.fields.Text("attempt")), code) ? "withdrawn"
                                                                             : "not_started";
  }

  std::string Finish(const TraceLine& line) {
    return registry_->Finish(AttemptId(line.fields.Text("attempt"))) ? "finished" : "not_started";
  }

  std::string Lookup(const TraceLine& line) {
    return Describe(registry_->Lookup(AttemptId(line.fields.Text("attempt"))));
  }

  std::string Expire(const TraceLine& line) {
    return "expired " + std::to_string(registry_->Expire(line.time));
  }

  static std::string Describe(const AttemptDecision& decision) {
    static const std::vector<std::pair<AttemptVerdict, std::string_view>> kNames = {
        {AttemptVerdict::kStart, "start"},
        {AttemptVerdict::kRefused, "refused"},
        {AttemptVerdict::kAlreadyRunning, "already_running"},
        {AttemptVerdict::kFinished, "finished"},
        {AttemptVerdict::kLateCopy, "late_copy"},
        {AttemptVerdict::kPastDeadline, "past_deadline"},
        {AttemptVerdict::kEarlierIncarnation, "earlier_incarnation"},
    };
    std::string text = EnumName(kNames, decision.verdict);
    const bool runs = decision.verdict == AttemptVerdict::kStart ||
                      decision.verdict == AttemptVerdict::kAlreadyRunning ||
                      decision.verdict == AttemptVerdict::kFinished;
    if (!runs) text += " " + std::string(Name(decision.run));
    return text;
  }

  std::size_t capacity_;
  Duration margin_;
  std::unique_ptr<AttemptRegistry> registry_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeAttemptReplay(const TraceFields& settings,
                                              const std::string& process) {
  return std::make_unique<AttemptReplay>(settings, process);
}

}  // namespace bamboodock
