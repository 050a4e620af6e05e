#include "bamboodock/config/config.h"
#include "bamboodock/policy/freshness_rule.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

class FreshnessReplay final : public TableReplay<FreshnessReplay> {
 public:
  explicit FreshnessReplay(const TraceFields& settings)
      : rule_(settings.Has("limit_ms") ? settings.Millis("limit_ms")
                                       : Duration(config::kFreshnessLimit),
              ToIds<HostId>(settings.List("witnesses"))) {}

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"confirm", &FreshnessReplay::Confirm, {"#epoch", "#confirmed_at"}},
        {"attest", &FreshnessReplay::Attest, {"witness", "#epoch", "#asked_at"}},
        {"install", &FreshnessReplay::Install, {"#epoch"}},
        {"hold", &FreshnessReplay::Hold, {"publication"}},
        {"release", &FreshnessReplay::Release, {"publication"}},
        {"judge", &FreshnessReplay::Judge, {}},
    };
    return kEvents;
  }

 private:
  std::string Confirm(const TraceLine& line) {
    rule_.Confirm(Epoch(line.fields.Number("epoch")), line.fields.Time("confirmed_at"),
                  ToIds<PublicationId>(line.fields.List("pending")));
    return Judge(line);
  }

  std::string Attest(const TraceLine& line) {
    rule_.Attest(HostId(line.fields.Text("witness")), Epoch(line.fields.Number("epoch")),
                 line.fields.Time("asked_at"), ToIds<PublicationId>(line.fields.List("pending")));
    return Judge(line);
  }

  std::string Install(const TraceLine& line) {
    rule_.Install(Epoch(line.fields.Number("epoch")));
    return Judge(line);
  }

  std::string Hold(const TraceLine& line) {
    rule_.Hold(PublicationId(line.fields.Text("publication")));
    return Judge(line);
  }

  std::string Release(const TraceLine& line) {
    rule_.Release(PublicationId(line.fields.Text("publication")));
    return Judge(line);
  }

  std::string Judge(const TraceLine& line) {
    static const std::vector<std::pair<FreshnessVerdict, std::string_view>> kNames = {
        {FreshnessVerdict::kFresh, "fresh"},
        {FreshnessVerdict::kFreshByWitnesses, "fresh_by_witnesses"},
        {FreshnessVerdict::kNotFresh, "not_fresh"},
        {FreshnessVerdict::kBehind, "behind"},
    };
    return EnumName(kNames, rule_.Judge(line.time));
  }

  FreshnessRule rule_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeFreshnessReplay(const TraceFields& settings, const std::string&) {
  return std::make_unique<FreshnessReplay>(settings);
}

}  // namespace bamboodock
