#include "bamboodock/policy/stream_assembler.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

class StreamReplay final : public TableReplay<StreamReplay> {
 public:
  explicit StreamReplay(const TraceFields& settings)
      : stream_(AttemptId(settings.Text("attempt")),
                settings.Has("max_resumes")
                    ? static_cast<std::uint32_t>(settings.Number("max_resumes"))
                    : 5) {}

  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"chunk", &StreamReplay::Chunk, {"attempt", "#seq"}},
        {"end", &StreamReplay::End, {"attempt", "#count"}},
        {"silence", &StreamReplay::Silence, {}},
        {"give_up", &StreamReplay::GiveUp, {}},
    };
    return kEvents;
  }

 private:
  std::string Chunk(const TraceLine& line) {
    return Describe(stream_.OnChunk(AttemptId(line.fields.Text("attempt")),
                                    SequenceNumber(line.fields.Number("seq"))));
  }

  std::string End(const TraceLine& line) {
    return Describe(stream_.OnEnd(AttemptId(line.fields.Text("attempt")),
                                  SequenceNumber(line.fields.Number("count"))));
  }

  std::string Silence(const TraceLine&) { return Describe(stream_.OnSilence()); }

  std::string GiveUp(const TraceLine&) { return Describe(stream_.OnGiveUp()); }

  std::string Describe(StreamVerdict verdict) const {
    static const std::vector<std::pair<StreamVerdict, std::string_view>> kNames = {
        {StreamVerdict::kDeliver, "deliver"},       {StreamVerdict::kIgnore, "ignore"},
        {StreamVerdict::kResume, "resume from"},    {StreamVerdict::kComplete, "complete"},
        {StreamVerdict::kIncomplete, "incomplete"},
    };
    std::string text = EnumName(kNames, verdict);
    if (verdict == StreamVerdict::kResume) text += " " + std::to_string(stream_.next().value());
    return text;
  }

  StreamAssembler stream_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeStreamReplay(const TraceFields& settings, const std::string&) {
  return std::make_unique<StreamReplay>(settings);
}

}  // namespace bamboodock
