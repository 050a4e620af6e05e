#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

#include "bamboodock/codec/operator_codec.h"
#include "bamboodock/codec/text_table.h"

namespace bamboodock {
namespace {

// Preserves the order in which the entry wrote the fields.
using Json = nlohmann::ordered_json;

Result<Json> ParseObject(std::string_view body) {
  Json parsed = Json::parse(body, nullptr, false);
  if (!parsed.is_object()) return Raise(ResultCode::kBadMessage, "response is not a JSON object");
  return parsed;
}

std::string CellText(const Json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) return value.get<std::string>();
  if (value.is_boolean()) return value.get<bool>() ? "yes" : "no";
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string FieldText(const Json& object, const std::string& name) {
  const auto found = object.find(name);
  return found == object.end() ? "-" : CellText(*found);
}

/// Columns of a list: `first`, then the other members of its first object.
std::vector<std::string> Columns(const Json& list, std::vector<std::string> columns) {
  if (list.empty() || !list[0].is_object()) return columns;
  for (const auto& item : list[0].items()) {
    if (std::find(columns.begin(), columns.end(), item.key()) == columns.end()) {
      columns.push_back(item.key());
    }
  }
  return columns;
}

/// Table of an array; an array of plain values becomes one column.
std::string ListText(const Json& object, const std::string& name,
                     const std::vector<std::string>& first) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_array()) return {};
  if (found->empty()) return name + ": none\n";
  const std::vector<std::string> columns = Columns(*found, first);
  TextTable table(columns);
  for (const Json& row : *found) {
    std::vector<std::string> cells;
    if (row.is_object()) {
      for (const std::string& column : columns) cells.push_back(FieldText(row, column));
    } else {
      cells.push_back(CellText(row));
    }
    table.Add(std::move(cells));
  }
  return name + ":\n" + table.Text();
}

/// Time of an event in UTC with microseconds.
std::string TimeText(const Json& event) {
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const auto found = event.find("at_us");
  if (found == event.end() || !found->is_number_integer()) return "-";
  const auto at = found->get<std::int64_t>();
  if (at < 0) return "-";
  const std::time_t seconds = at / kMicrosPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> date{};
  const std::size_t length = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::string micros = std::to_string(at % kMicrosPerSecond);
  micros.insert(0, 6 - std::min<std::size_t>(micros.size(), 6), '0');
  return std::string(date.data(), length) + "." + micros + "Z";
}

}  // namespace

Result<std::string> DescribeReceipt(std::string_view body) {
  BOOST_LEAF_AUTO(receipt, ParseObject(body));
  if (!receipt.contains("epoch")) {
    return Raise(ResultCode::kBadMessage, "the response has no field 'epoch'");
  }
  return "accepted: epoch " + FieldText(receipt, "epoch") + ", publication " +
         FieldText(receipt, "publication") + "\n" +
         ListText(receipt, "in_force", {"process", "epoch"});
}

Result<std::string> DescribeStatus(std::string_view body) {
  BOOST_LEAF_AUTO(status, ParseObject(body));
  TextTable summary({"process", "epoch", "publication", "fresh", "freshness_ms"});
  summary.Add({FieldText(status, "process"), FieldText(status, "epoch"),
               FieldText(status, "publication"), FieldText(status, "fresh"),
               FieldText(status, "freshness_ms")});
  return summary.Text() + "\n" + ListText(status, "pending", {"publication"}) + "\n" +
         ListText(status, "endpoints", {"id", "availability_zone", "in_flight", "limit", "state"}) +
         "\n" + ListText(status, "accounts", {"id"});
}

Result<std::string> DescribeTimeline(std::string_view body) {
  BOOST_LEAF_AUTO(timeline, ParseObject(body));
  const auto events = timeline.find("events");
  if (events == timeline.end() || !events->is_array()) {
    return Raise(ResultCode::kBadMessage, "the response has no array 'events'");
  }
  TextTable table({"time", "process", "event", "name", "request", "detail"});
  for (const Json& event : *events) {
    if (!event.is_object()) continue;
    table.Add({TimeText(event), FieldText(event, "process"), FieldText(event, "event"),
               FieldText(event, "name"), FieldText(event, "request"), FieldText(event, "detail")});
  }
  return table.Text();
}

Result<std::string> DescribeObject(std::string_view body) {
  BOOST_LEAF_AUTO(object, ParseObject(body));
  TextTable table({"field", "value"});
  for (const auto& item : object.items()) table.Add({item.key(), CellText(item.value())});
  return table.Text();
}

std::string DescribeObjectSetErrors(const std::vector<ObjectSetError>& errors) {
  TextTable table({"object", "field", "error"});
  for (const ObjectSetError& error : errors) table.Add({error.object, error.field, error.message});
  return table.Text();
}

}  // namespace bamboodock
