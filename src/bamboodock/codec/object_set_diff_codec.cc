#include "bamboodock/codec/object_set_diff_codec.h"

#include <array>
#include <nlohmann/json.hpp>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/codec/text_table.h"
#include "bamboodock/objects/object_name.h"

namespace bamboodock {
namespace {

using nlohmann::json;

template <class Object>
std::string EncodeIfFound(const std::vector<Object>& objects, const std::string& id) {
  for (const Object& object : objects) {
    if (QualifiedId(object) == id) return EncodeObject(object);
  }
  return {};
}

/// Function that finds and encodes an object of one kind.
struct KindEncoder {
  std::string_view kind;
  std::string (*encode)(const ObjectSet& set, const std::string& id);
};

template <class Object, const std::vector<Object>& (ObjectSet::*kList)() const>
constexpr KindEncoder MakeKindEncoder() {
  return {ObjectFields<Object>::kKind, [](const ObjectSet& set, const std::string& id) {
            return EncodeIfFound((set.*kList)(), id);
          }};
}

constexpr std::array kKinds{MakeKindEncoder<ClientAccount, &ObjectSet::accounts>(),
                            MakeKindEncoder<Model, &ObjectSet::models>(),
                            MakeKindEncoder<Version, &ObjectSet::versions>(),
                            MakeKindEncoder<Cascade, &ObjectSet::cascades>(),
                            MakeKindEncoder<AvailabilityZone, &ObjectSet::availability_zones>(),
                            MakeKindEncoder<Endpoint, &ObjectSet::endpoints>()};

json ParseObject(const std::string& text) {
  return text.empty() ? json::object() : json::parse(text, nullptr, false);
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// JSON of a value, cut to 48 bytes; lists of steps or grants would make the table too wide to
/// read.
std::string CellText(const json& value) {
  constexpr std::size_t kMaxCellBytes = 48;
  std::string text = Dump(value);
  if (text.size() <= kMaxCellBytes) return text;
  return text.substr(0, kMaxCellBytes) + "...";
}

/// JSON of a changed object before and after the change.
struct ChangedValues {
  json before;
  json after;
};

ChangedValues EncodeChangedValues(const ObjectChange& change, const ObjectSet& before,
                                  const ObjectSet& after) {
  return {ParseObject(EncodeObject(before, change.kind, change.id)),
          ParseObject(EncodeObject(after, change.kind, change.id))};
}

}  // namespace

std::string EncodeObject(const ObjectSet& set, std::string_view kind, const std::string& id) {
  for (const KindEncoder& encoder : kKinds) {
    if (encoder.kind == kind) return encoder.encode(set, id);
  }
  return {};
}

std::string EncodeChanges(const std::vector<ObjectChange>& changes, const ObjectSet& before,
                          const ObjectSet& after) {
  json list = json::array();
  for (const ObjectChange& change : changes) {
    const ChangedValues values = EncodeChangedValues(change, before, after);
    json fields = json::array();
    for (const std::string_view field : change.fields) {
      const std::string name(field);
      fields.push_back(
          {{"field", name}, {"before", values.before.at(name)}, {"after", values.after.at(name)}});
    }
    list.push_back({{"change", std::string(Name(change.change))},
                    {"kind", std::string(change.kind)},
                    {"id", change.id},
                    {"fields", std::move(fields)}});
  }
  json body = json::object();
  body["changes"] = std::move(list);
  return Dump(body);
}

std::string DescribeChanges(const std::vector<ObjectChange>& changes, const ObjectSet& before,
                            const ObjectSet& after) {
  if (changes.empty()) return "no differences\n";
  TextTable table({"change", "kind", "id", "field", "before", "after"});
  for (const ObjectChange& change : changes) {
    const std::string name(Name(change.change));
    const std::string kind(change.kind);
    if (change.fields.empty()) table.Add({name, kind, change.id});
    const ChangedValues values = EncodeChangedValues(change, before, after);
    for (const std::string_view view : change.fields) {
      const std::string field(view);
      table.Add({name, kind, change.id, field, CellText(values.before.at(field)),
                 CellText(values.after.at(field))});
    }
  }
  return table.Text();
}

}  // namespace bamboodock
