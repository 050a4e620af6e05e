#include <xxhash.h>

#include <map>

#include "bamboodock/policy/returned_row.h"
#include "bamboodock/replay/rule_replay.h"

namespace bamboodock {

namespace {

/// Rows that one entry has read, and judges after the store has returned from an older copy.
class ReturnedRowReplay final : public TableReplay<ReturnedRowReplay> {
 public:
  static const std::vector<Entry>& Events() {
    static const std::vector<Entry> kEvents = {
        {"write", &ReturnedRowReplay::Write, {"key", "#revision", "value"}},
        {"remove", &ReturnedRowReplay::Remove, {"key"}},
        {"judge", &ReturnedRowReplay::Judge, {"key", "#revision", "value"}},
    };
    return kEvents;
  }

 private:
  static const std::vector<std::pair<ReturnedRowVerdict, std::string_view>>& VerdictNames() {
    static const std::vector<std::pair<ReturnedRowVerdict, std::string_view>> kNames = {
        {ReturnedRowVerdict::kSurvived, "survived"},
        {ReturnedRowVerdict::kOutdated, "outdated"},
        {ReturnedRowVerdict::kNewer, "newer"},
    };
    return kNames;
  }

  static RowAfterReturn Row(const TraceLine& line) {
    const std::string value = line.fields.Text("value");
    RowAfterReturn row{{line.fields.Number("revision"), XXH3_64bits(value.data(), value.size())},
                       std::nullopt};
    if (line.fields.HasNumber("sequence")) {
      row.sequence = WriterSequence{static_cast<std::int64_t>(line.fields.Number("start")),
                                    line.fields.Number("sequence")};
    }
    return row;
  }

  std::string Write(const TraceLine& line) {
    const RowAfterReturn row = Row(line);
    RowBeforeReturn& known = rows_[line.fields.Text("key")];
    known.writes.push_back(row.write);
    known.sequence = row.sequence;
    known.removed = false;
    return "known";
  }

  std::string Remove(const TraceLine& line) {
    rows_[line.fields.Text("key")].removed = true;
    return "removed";
  }

  /// Judges the row without making it known; a `write` does so.
  std::string Judge(const TraceLine& line) {
    return EnumName(VerdictNames(), JudgeReturnedRow(rows_[line.fields.Text("key")], Row(line)));
  }

  std::map<std::string, RowBeforeReturn> rows_;
};

}  // namespace

std::unique_ptr<RuleReplay> MakeReturnedRowReplay(const TraceFields&, const std::string&) {
  return std::make_unique<ReturnedRowReplay>();
}

}  // namespace bamboodock
