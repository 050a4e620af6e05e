#include "bamboodock/policy/endpoint_rate_limits.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

/// The rate limits that one entry knows.
class RateLimitReplay final : public TableReplay<RateLimitReplay> {
 public:
  RateLimitReplay(const TraceFields& settings, const std::string& process)
      : ranking_(HostId(process)) {
    std::vector<HostId> peers = ToIds<HostId>(settings.List("entries"));
    std::erase(peers, HostId(process));
    ranking_.SetPeers(std::move(peers));
  }

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"answer", &RateLimitReplay::Answer, {"endpoint", "#sent"}},
        {"report", &RateLimitReplay::Report, {"endpoint", "#stated"}},
        {"send", &RateLimitReplay::Send, {"endpoint"}},
    };
    return kEvents;
  }

 private:
  static constexpr StartTime kStarted{1};
  /// The field holds thousandths of a request per second.
  static constexpr double kThousandths = 1000;

  static std::optional<RequestRate> Limit(const TraceLine& line) {
    if (!line.fields.HasNumber("limit_milli")) return std::nullopt;
    return RequestRate(static_cast<double>(line.fields.Number("limit_milli")) / kThousandths);
  }
  static EndpointId Endpoint(const TraceLine& line) {
    return EndpointId(line.fields.Text("endpoint"));
  }

  std::string Answer(const TraceLine& line) {
    const auto limit = Limit(line);
    const MonotonicTime stated = limit ? line.time : line.fields.Time("sent");
    limits_.Observe({Endpoint(line), kStarted, limit, stated}, line.time);
    return State(line);
  }

  std::string Report(const TraceLine& line) {
    limits_.Merge({Endpoint(line), kStarted, Limit(line), line.fields.Time("stated")}, line.time);
    return State(line);
  }

  std::string State(const TraceLine& line) const {
    return limits_.IsLimited(Endpoint(line), kStarted) ? "limited" : "unlimited";
  }

  std::string Send(const TraceLine& line) {
    const EndpointId endpoint = Endpoint(line);
    if (!limits_.HasRoom(endpoint, kStarted, ranking_, line.time)) return "no_room";
    limits_.OnSend(endpoint, kStarted, ranking_, line.time);
    return "sent";
  }

  EntryRanking ranking_;
  EndpointRateLimits limits_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeRateLimitReplay(const TraceFields& settings,
                                                const std::string& process) {
  return std::make_unique<RateLimitReplay>(settings, process);
}

}  // namespace bamboodock
