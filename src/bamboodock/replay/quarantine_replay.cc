#include <functional>

#include "bamboodock/policy/prompt_quarantine.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

class QuarantineReplay final : public TableReplay<QuarantineReplay> {
 public:
  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"under_way", &QuarantineReplay::UnderWay, {"endpoint", "request", "parts"}},
        {"lost", &QuarantineReplay::Lost, {"endpoint", "request", "parts"}},
        {"abandoned", &QuarantineReplay::Abandoned, {"endpoint", "request", "parts"}},
        {"decide", &QuarantineReplay::Decide, {"parts"}},
    };
    return kEvents;
  }

 private:
  static std::size_t Hash(const std::string& text) { return std::hash<std::string>{}(text); }

  static std::vector<PromptPartHash> Parts(const TraceLine& line) {
    std::vector<PromptPartHash> parts;
    for (const std::string& part : line.fields.List("parts")) parts.emplace_back(Hash(part));
    return parts;
  }

  static PromptAttempt Attempt(const TraceLine& line) {
    const auto endpoint = static_cast<std::uint32_t>(Hash(line.fields.Text("endpoint")));
    const auto request = static_cast<std::uint32_t>(Hash(line.fields.Text("request")));
    return {Parts(line), EndpointLifetimeHash(endpoint), RequestHash(request)};
  }

  std::string UnderWay(const TraceLine& line) {
    quarantine_.OnSurvived(Attempt(line), line.time);
    return CountQuarantined(line);
  }

  std::string Lost(const TraceLine& line) {
    quarantine_.OnLost(Attempt(line), line.time);
    return CountQuarantined(line);
  }

  std::string Abandoned(const TraceLine& line) {
    quarantine_.OnAbandoned(Attempt(line), line.time);
    return CountQuarantined(line);
  }

  std::string CountQuarantined(const TraceLine& line) {
    return "quarantined " + std::to_string(quarantine_.Quarantined(line.time).size());
  }

  std::string Decide(const TraceLine& line) {
    const PromptDecision decision = quarantine_.Decide(
        Parts(line), static_cast<std::uint32_t>(line.fields.Number("rank")), line.time);
    static const std::vector<std::pair<PromptVerdict, std::string_view>> kNames = {
        {PromptVerdict::kServe, "serve"},
        {PromptVerdict::kProbe, "probe"},
        {PromptVerdict::kRefuse, "refuse"},
    };
    std::string text = EnumName(kNames, decision.verdict);
    if (decision.verdict == PromptVerdict::kServe) return text;
    text += " " + line.fields.List("parts").at(decision.index);
    return text;
  }

  PromptQuarantine quarantine_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeQuarantineReplay(const TraceFields&, const std::string&) {
  return std::make_unique<QuarantineReplay>();
}

}  // namespace bamboodock
