#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Fields of one line of a trace, decoded from JSON to text.
class TraceFields {
 public:
  bool Has(std::string_view name) const { return values_.contains(name); }
  /// Whether the field consists of decimal digits only.
  bool HasNumber(std::string_view name) const;
  /// Value as text, the first element of a list; empty when absent.
  std::string Text(std::string_view name) const;
  /// Value as a number; zero when absent or not a number.
  std::uint64_t Number(std::string_view name) const;
  /// Value in milliseconds as a duration.
  Duration Millis(std::string_view name) const;
  /// Value in milliseconds since the start of the trace as a time.
  MonotonicTime Time(std::string_view name) const;
  /// Elements of a list; one element for a single value, none when absent.
  std::vector<std::string> List(std::string_view name) const;

  void Add(std::string name, std::vector<std::string> values) {
    values_[std::move(name)] = std::move(values);
  }

 private:
  std::map<std::string, std::vector<std::string>, std::less<>> values_;
};

/// Event at a process, or the expected outcome of the event before it.
struct TraceLine {
  /// Line number in the file, counted from 1.
  std::size_t number = 0;
  bool is_expectation = false;
  /// Name of the event, or the expected outcome.
  std::string name;
  std::string process;
  MonotonicTime time;
  TraceFields fields;
};

/// Recorded trace; docs/traces.md describes the file format.
struct Trace {
  /// Rule that handles the events whose name has no rule prefix.
  std::string rule;
  TraceFields settings;
  std::vector<TraceLine> lines;
};

/// Decodes a trace of JSON lines. Fails with `kBadMessage` and the line number on a malformed line
/// or a missing header.
Result<Trace> ReadTrace(std::istream& in);

}  // namespace bamboodock
