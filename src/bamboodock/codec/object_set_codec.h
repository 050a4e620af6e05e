#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/config/config.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/objects/object_set.h"
#include "bamboodock/objects/object_set_error.h"

namespace bamboodock {

/// Maximum size of the text of an object set in bytes; leaves 4096 bytes of a request body for the
/// other fields of `publish`.
inline constexpr std::size_t kMaxObjectSetBytes = config::kMaxBodyBytes - 4096;

/// Outcome of decoding: a set without errors, or errors and no set.
struct DecodedObjectSet {
  Ref<const ObjectSet> set;
  std::vector<ObjectSetError> errors;
};

/// JSON of a set: sorted keys, no spaces, objects in the order of the set; equal sets give equal
/// texts.
std::string EncodeObjectSet(const ObjectSet& set);

/// JSON of one object, as in its array of the set.
std::string EncodeObject(const ClientAccount& account);
std::string EncodeObject(const Model& model);
std::string EncodeObject(const Version& version);
std::string EncodeObject(const Cascade& cascade);
std::string EncodeObject(const AvailabilityZone& zone);
std::string EncodeObject(const Endpoint& endpoint);

/// Decodes a set and collects every error of format, up to `kMaxObjectSetErrors`: unknown, missing
/// and repeated fields, wrong types, numbers out of range. References are checked by
/// `ObjectSetChecker`.
DecodedObjectSet DecodeObjectSet(std::string_view text);

/// Lower-case name used in JSON.
std::string_view Name(VersionStage stage);
std::string_view Name(EndpointKind kind);

}  // namespace bamboodock
