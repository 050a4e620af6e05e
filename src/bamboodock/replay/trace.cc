#include "bamboodock/replay/trace.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace bamboodock {

namespace {

using Json = nlohmann::json;

std::string ScalarText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

TraceFields DecodeFields(const Json& object) {
  TraceFields fields;
  for (const auto& [name, value] : object.items()) {
    std::vector<std::string> values;
    if (value.is_array()) {
      for (const Json& element : value) values.push_back(ScalarText(element));
    } else if (!value.is_null()) {
      values.push_back(ScalarText(value));
    }
    if (value.is_array() || !values.empty()) fields.Add(name, std::move(values));
  }
  return fields;
}

boost::leaf::error_id LineError(std::size_t number, const std::string& reason) {
  return Raise(ResultCode::kBadMessage, "line " + std::to_string(number) + ": " + reason);
}

Result<TraceLine> DecodeLine(const Json& object, std::size_t number) {
  TraceLine line;
  line.number = number;
  line.fields = DecodeFields(object);
  line.is_expectation = line.fields.Has("expect");
  line.name = line.fields.Text(line.is_expectation ? "expect" : "event");
  if (line.name.empty()) return LineError(number, "field \"event\" or \"expect\" is missing");
  if (line.is_expectation) return line;
  if (!line.fields.HasNumber("time")) return LineError(number, "field \"time\" is not a number");
  line.process = line.fields.Text("process");
  if (line.process.empty()) return LineError(number, "field \"process\" is missing or empty");
  line.time = line.fields.Time("time");
  return line;
}

}  // namespace

bool TraceFields::HasNumber(std::string_view name) const {
  const std::string text = Text(name);
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string TraceFields::Text(std::string_view name) const {
  const auto it = values_.find(name);
  return it == values_.end() || it->second.empty() ? std::string() : it->second.front();
}

std::uint64_t TraceFields::Number(std::string_view name) const {
  const std::string text = Text(name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Duration TraceFields::Millis(std::string_view name) const {
  return std::chrono::milliseconds(Number(name));
}

MonotonicTime TraceFields::Time(std::string_view name) const { return MonotonicTime(Millis(name)); }

std::vector<std::string> TraceFields::List(std::string_view name) const {
  const auto it = values_.find(name);
  return it == values_.end() ? std::vector<std::string>() : it->second;
}

Result<Trace> ReadTrace(std::istream& in) {
  Trace trace;
  std::string text;
  for (std::size_t number = 1; std::getline(in, text); ++number) {
    if (text.empty()) continue;
    const Json object = Json::parse(text, nullptr, false);
    if (!object.is_object()) return LineError(number, "not a JSON object");
    if (!trace.rule.empty()) {
      BOOST_LEAF_AUTO(line, DecodeLine(object, number));
      trace.lines.push_back(std::move(line));
      continue;
    }
    trace.rule = DecodeFields(object).Text("rule");
    if (trace.rule.empty()) return LineError(number, "field \"rule\" of the header is missing");
    if (object.contains("settings")) trace.settings = DecodeFields(object["settings"]);
  }
  if (trace.rule.empty()) return LineError(1, "the header is missing");
  return trace;
}

}  // namespace bamboodock
