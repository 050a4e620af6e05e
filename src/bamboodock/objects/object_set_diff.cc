#include "bamboodock/objects/object_set_diff.h"

#include <algorithm>
#include <array>
#include <map>

#include "bamboodock/objects/object_fields.h"
#include "bamboodock/objects/object_name.h"

namespace bamboodock {
namespace {

template <HasFields Element>
bool IsEqual(const std::vector<Element>& a, const std::vector<Element>& b);

template <class Value>
bool IsEqual(const Value& a, const Value& b) {
  if constexpr (HasFields<Value>) {
    bool equal = true;
    ForEachField<Value>(
        [&](const auto& field) { equal = equal && IsEqual(a.*(field.member), b.*(field.member)); });
    return equal;
  } else {
    return a == b;
  }
}

template <HasFields Element>
bool IsEqual(const std::vector<Element>& a, const std::vector<Element>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const Element& x, const Element& y) { return IsEqual(x, y); });
}

template <class Object>
std::vector<std::string_view> ChangedFields(const Object& before, const Object& after) {
  std::vector<std::string_view> changed;
  ForEachField<Object>([&](const auto& field) {
    if (!IsEqual(before.*(field.member), after.*(field.member))) changed.push_back(field.name);
  });
  return changed;
}

template <class Object>
using ObjectIndex = std::map<std::string, const Object*>;

template <class Object>
ObjectIndex<Object> Index(const std::vector<Object>& objects) {
  ObjectIndex<Object> index;
  for (const Object& object : objects) index.emplace(QualifiedId(object), &object);
  return index;
}

template <class Object>
void AddChanges(const std::vector<Object>& before, const std::vector<Object>& after,
                std::vector<ObjectChange>& changes) {
  constexpr std::string_view kKind = ObjectFields<Object>::kKind;
  const ObjectIndex<Object> old_objects = Index(before);
  const ObjectIndex<Object> new_objects = Index(after);
  const auto first = static_cast<std::ptrdiff_t>(changes.size());
  for (const auto& [id, object] : old_objects) {
    const auto found = new_objects.find(id);
    if (found == new_objects.end()) {
      changes.push_back({ChangeKind::kRemoved, kKind, id, {}});
      continue;
    }
    std::vector<std::string_view> fields = ChangedFields(*object, *found->second);
    if (!fields.empty()) {
      changes.push_back({ChangeKind::kChanged, kKind, id, std::move(fields)});
    }
  }
  for (const auto& [id, object] : new_objects) {
    if (!old_objects.contains(id)) changes.push_back({ChangeKind::kAdded, kKind, id, {}});
  }
  std::sort(changes.begin() + first, changes.end(),
            [](const ObjectChange& a, const ObjectChange& b) { return a.id < b.id; });
}

}  // namespace

std::vector<ObjectChange> DiffObjectSets(const ObjectSet& before, const ObjectSet& after) {
  std::vector<ObjectChange> changes;
  AddChanges(before.accounts(), after.accounts(), changes);
  AddChanges(before.models(), after.models(), changes);
  AddChanges(before.versions(), after.versions(), changes);
  AddChanges(before.cascades(), after.cascades(), changes);
  AddChanges(before.availability_zones(), after.availability_zones(), changes);
  AddChanges(before.endpoints(), after.endpoints(), changes);
  return changes;
}

std::string_view Name(ChangeKind change) {
  constexpr std::array<std::string_view, 3> kNames{"added", "removed", "changed"};
  return kNames.at(static_cast<std::size_t>(change));
}

}  // namespace bamboodock
