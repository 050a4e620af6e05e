#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <type_traits>
#include <utility>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/objects/object_fields.h"

namespace bamboodock {
namespace {

using nlohmann::json;

constexpr std::string_view kSetName = "set";

/// The longest valid string, a key hash, has 64 bytes. The checker and the router repeat ids in
/// messages, which would multiply the size of an unbounded string.
constexpr std::size_t kMaxStringBytes = 128;

/// A set nests six levels deep; deeper texts are rejected.
constexpr std::size_t kMaxDepth = 8;

std::string FormatNumber(double value) { return json(value).dump(); }

std::string FormatRange(NumberRange range) {
  const auto bound = [](double value) {
    return value == std::floor(value) ? std::to_string(static_cast<std::int64_t>(value))
                                      : FormatNumber(value);
  };
  return "from " + bound(range.min) + " to " + bound(range.max);
}

/// List of at most `kMaxObjectSetErrors` errors and a note that further ones are not listed.
class ErrorList {
 public:
  void Add(std::string_view object, std::string field, std::string message) {
    if (errors_.size() > kMaxObjectSetErrors) return;
    if (errors_.size() == kMaxObjectSetErrors) {
      errors_.push_back(
          {std::string(kSetName), "", "too many errors; further errors are not listed"});
      return;
    }
    errors_.push_back({std::string(object), std::move(field), std::move(message)});
  }
  std::vector<ObjectSetError> Take() { return std::move(errors_); }
  bool empty() const { return errors_.empty(); }

 private:
  std::vector<ObjectSetError> errors_;
};

/// Reads one published object and reports its errors under the name of the object.
class ObjectReader {
 public:
  ObjectReader(std::string object, ErrorList& errors)
      : object_(std::move(object)), errors_(errors) {}

  template <HasFields Object>
  void Read(const json& value, const std::string& path, NumberRange /*range*/, Object& out) {
    if (!value.is_object()) return Report(path, "must be an object");
    const std::string prefix = path.empty() ? "" : path + ".";
    std::size_t known = 0;
    ForEachField<Object>([&](const auto& field) {
      const std::string field_path = prefix + std::string(field.name);
      const auto found = value.find(std::string(field.name));
      if (found != value.end()) {
        ++known;
        Read(*found, field_path, field.range, out.*(field.member));
      } else if (field.presence == Presence::kRequired) {
        Report(field_path, "is missing");
      }
    });
    if (known != value.size()) ReportUnknown<Object>(value, prefix);
  }

 private:
  void Report(const std::string& path, std::string message) {
    errors_.Add(object_, path, std::move(message));
  }

  template <class Object>
  void ReportUnknown(const json& value, const std::string& prefix) {
    for (const auto& item : value.items()) {
      bool known = false;
      ForEachField<Object>([&](const auto& field) { known = known || field.name == item.key(); });
      if (!known) Report(prefix + item.key(), "is not a known field");
    }
  }

  void Read(const json& value, const std::string& path, NumberRange /*range*/, bool& out) {
    if (!value.is_boolean()) return Report(path, "must be true or false");
    out = value.get<bool>();
  }

  void Read(const json& value, const std::string& path, NumberRange /*range*/, std::string& out) {
    if (!value.is_string()) return Report(path, "must be a string");
    out = value.get<std::string>();
    if (out.size() > kMaxStringBytes) {
      Report(path, "must not exceed " + std::to_string(kMaxStringBytes) + " bytes");
    }
  }

  template <class Tag>
  void Read(const json& value, const std::string& path, NumberRange range, StrongId<Tag>& out) {
    std::string text;
    Read(value, path, range, text);
    out = StrongId<Tag>(std::move(text));
  }

  void Read(const json& value, const std::string& path, NumberRange range, int& out) {
    ReadNumber(value, path, range, out);
  }

  template <class Tag, class Rep>
  void Read(const json& value, const std::string& path, NumberRange range,
            Quantity<Tag, Rep>& out) {
    Rep number = out.value();
    ReadNumber(value, path, range, number);
    out = Quantity<Tag, Rep>(number);
  }

  template <class Number>
  void ReadNumber(const json& value, const std::string& path, NumberRange range, Number& out) {
    if constexpr (std::is_integral_v<Number>) {
      if (!value.is_number_integer()) return Report(path, "must be an integer");
    } else if (!value.is_number()) {
      return Report(path, "must be a number");
    }
    const auto number = value.get<double>();
    if (!(number >= range.min && number <= range.max)) {
      return Report(path, "must be " + FormatRange(range));
    }
    out = value.get<Number>();
  }

  void Read(const json& value, const std::string& path, NumberRange /*range*/, VersionStage& out) {
    constexpr std::array kStages{VersionStage::kActive, VersionStage::kNoNewSessions,
                                 VersionStage::kWithdrawn};
    ReadName(value, path, kStages, out);
  }

  void Read(const json& value, const std::string& path, NumberRange /*range*/, EndpointKind& out) {
    constexpr std::array kKinds{EndpointKind::kEngine, EndpointKind::kService};
    ReadName(value, path, kKinds, out);
  }

  template <class Enum, std::size_t kCount>
  void ReadName(const json& value, const std::string& path, const std::array<Enum, kCount>& choices,
                Enum& out) {
    std::string names;
    for (const Enum choice : choices) {
      if (value.is_string() && value.get_ref<const std::string&>() == Name(choice)) {
        out = choice;
        return;
      }
      names += (names.empty() ? "" : ", ") + std::string(Name(choice));
    }
    Report(path, "must be one of: " + names);
  }

  template <class Element>
  void Read(const json& value, const std::string& path, NumberRange range,
            std::vector<Element>& out) {
    if (!value.is_array()) return Report(path, "must be an array");
    out.resize(value.size());
    for (std::size_t i = 0; i < out.size(); ++i) {
      Read(value[i], path + "[" + std::to_string(i) + "]", range, out[i]);
    }
  }

  std::string object_;
  ErrorList& errors_;
};

std::string StringField(const json& value, const char* name) {
  if (!value.is_object()) return {};
  const auto found = value.find(name);
  if (found == value.end() || !found->is_string()) return {};
  return found->get<std::string>();
}

/// Cuts an id or a field name to 80 bytes at a character boundary; a longer id would be repeated in
/// every error of its object.
std::string TruncateName(std::string name) {
  constexpr std::size_t kMaxNameBytes = 80;
  if (name.size() <= kMaxNameBytes) return name;
  std::size_t end = kMaxNameBytes;
  const auto is_continuation = [&](std::size_t at) {
    return (static_cast<unsigned char>(name[at]) & 0xC0U) == 0x80U;
  };
  while (end > 0 && is_continuation(end)) --end;
  name.resize(end);
  return name + "...";
}

/// Kind and id of an object that may be malformed; a missing id is replaced by its position.
template <PublishedObject Object>
std::string ObjectLabel(const json& value, std::size_t index) {
  const std::string kind(ObjectFields<Object>::kKind);
  const std::string id = TruncateName(StringField(value, "id"));
  if (id.empty()) return kind + " #" + std::to_string(index);
  if constexpr (std::is_same_v<Object, Version>) {
    return kind + " " + TruncateName(StringField(value, "model")) + "@" + id;
  }
  return kind + " " + id;
}

/// Decodes the arrays of a set; the table names the reader of each array.
class SetReader {
 public:
  explicit SetReader(ErrorList& errors) : errors_(errors) {}

  void Read(const json& root) {
    if (!root.is_object()) return errors_.Add(kSetName, "", "must be a JSON object");
    for (const Array& array : kArrays) {
      const auto found = root.find(std::string(array.name));
      if (found == root.end()) {
        errors_.Add(kSetName, std::string(array.name), "is missing");
      } else if (!found->is_array()) {
        errors_.Add(kSetName, std::string(array.name), "must be an array");
      } else {
        (this->*array.read)(*found);
      }
    }
    for (const auto& [name, ignored] : root.items()) {
      if (!IsArrayName(name)) errors_.Add(kSetName, name, "is not a known field");
    }
  }

  Ref<const ObjectSet> Build() const { return builder_.Build(); }

 private:
  struct Array {
    std::string_view name;
    void (SetReader::*read)(const json& list);
  };

  static bool IsArrayName(std::string_view name) {
    for (const Array& array : kArrays) {
      if (array.name == name) return true;
    }
    return false;
  }

  template <PublishedObject Object>
  void ReadObjects(const json& list) {
    for (std::size_t i = 0; i < list.size(); ++i) {
      Object object;
      ObjectReader(ObjectLabel<Object>(list[i], i), errors_).Read(list[i], "", {}, object);
      builder_.Add(std::move(object));
    }
  }

  static const std::array<Array, 6> kArrays;

  ErrorList& errors_;
  ObjectSetBuilder builder_;
};

const std::array<SetReader::Array, 6> SetReader::kArrays{{
    {"accounts", &SetReader::ReadObjects<ClientAccount>},
    {"models", &SetReader::ReadObjects<Model>},
    {"versions", &SetReader::ReadObjects<Version>},
    {"cascades", &SetReader::ReadObjects<Cascade>},
    {"availability_zones", &SetReader::ReadObjects<AvailabilityZone>},
    {"endpoints", &SetReader::ReadObjects<Endpoint>},
}};

/// Handles the events of the parser to find errors that the parsed value no longer shows: repeated
/// keys and excessive nesting.
///
/// A parser callback would do the same, but the library then searches the parent of every object it
/// closes, which takes minutes for a large array.
class ParseObserver final : public nlohmann::json_sax<json> {
 public:
  explicit ParseObserver(ErrorList& errors) : errors_(errors) {}

  bool too_deep() const { return too_deep_; }

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(std::int64_t /*value*/) override { return true; }
  bool number_unsigned(std::uint64_t /*value*/) override { return true; }
  bool number_float(double /*value*/, const std::string& /*text*/) override { return true; }
  bool string(std::string& /*value*/) override { return true; }
  bool binary(json::binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*elements*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

  bool key(std::string& name) override {
    // The parser keeps only the last of equal keys, which would hide a mistake of the operator.
    if (!keys_.back().insert(name).second) {
      errors_.Add(kSetName, TruncateName(name), "appears twice in one object");
    }
    return true;
  }

 private:
  bool Enter() {
    keys_.emplace_back();
    too_deep_ = keys_.size() > kMaxDepth;
    return !too_deep_;
  }

  bool Leave() {
    keys_.pop_back();
    return true;
  }

  ErrorList& errors_;
  /// Keys seen in each open object or array.
  std::vector<std::set<std::string>> keys_;
  bool too_deep_ = false;
};

std::string DescribeParseError(const json::parse_error& error, std::string_view text) {
  const std::size_t at = std::min(error.byte, text.size());
  const std::string_view before = text.substr(0, at);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::string where = "line " + std::to_string(line) + " (byte " + std::to_string(at) + ")";
  if (error.byte > text.size()) return "JSON text is truncated: it ends early at " + where;
  return "invalid JSON at " + where;
}

/// Parses JSON; returns a discarded value after an error.
json Parse(std::string_view text, ErrorList& errors) {
  ParseObserver observer(errors);
  if (!json::sax_parse(text, &observer) && observer.too_deep()) {
    errors.Add(kSetName, "", "arrays or objects are nested too deeply");
    return json(json::value_t::discarded);
  }
  try {
    return json::parse(text);
  } catch (const json::parse_error& error) {
    errors = ErrorList();
    errors.Add(kSetName, "", DescribeParseError(error, text));
  } catch (const json::exception&) {
    errors = ErrorList();
    errors.Add(kSetName, "", "JSON text holds a number that is out of range");
  }
  return json(json::value_t::discarded);
}

}  // namespace

DecodedObjectSet DecodeObjectSet(std::string_view text) {
  ErrorList errors;
  if (text.size() > kMaxObjectSetBytes) {
    errors.Add(kSetName, "",
               "JSON text of " + std::to_string(text.size()) + " bytes exceeds the limit of " +
                   std::to_string(kMaxObjectSetBytes) + " bytes");
    return {nullptr, errors.Take()};
  }
  const json root = Parse(text, errors);
  SetReader reader(errors);
  if (!root.is_discarded()) reader.Read(root);
  if (!errors.empty()) return {nullptr, errors.Take()};
  return {reader.Build(), {}};
}

}  // namespace bamboodock
