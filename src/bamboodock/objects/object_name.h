#pragma once

#include <string>

#include "bamboodock/objects/object_fields.h"

namespace bamboodock {

/// Id by which operators name an object; "model@version" for a version.
template <PublishedObject Object>
std::string QualifiedId(const Object& object) {
  return object.id.value();
}

inline std::string QualifiedId(const Version& version) {
  return version.model.value() + "@" + version.id.value();
}

/// Kind and id, for example "endpoint nile-e1".
template <PublishedObject Object>
std::string ObjectName(const Object& object) {
  return std::string(ObjectFields<Object>::kKind) + " " + QualifiedId(object);
}

}  // namespace bamboodock
