#include <nlohmann/json.hpp>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/objects/object_fields.h"

namespace bamboodock {
namespace {

using nlohmann::json;

json Encode(bool value) { return value; }
json Encode(int value) { return value; }
json Encode(const std::string& value) { return value; }
json Encode(VersionStage value) { return std::string(Name(value)); }
json Encode(EndpointKind value) { return std::string(Name(value)); }

template <class Tag>
json Encode(const StrongId<Tag>& id) {
  return id.value();
}

template <class Tag, class Rep>
json Encode(Quantity<Tag, Rep> quantity) {
  return quantity.value();
}

template <HasFields Object>
json Encode(const Object& object);

template <class Element>
json Encode(const std::vector<Element>& list) {
  json encoded = json::array();
  for (const Element& element : list) encoded.push_back(Encode(element));
  return encoded;
}

template <HasFields Object>
json Encode(const Object& object) {
  json encoded = json::object();
  ForEachField<Object>([&](const auto& field) {
    encoded[std::string(field.name)] = Encode(object.*(field.member));
  });
  return encoded;
}

/// Text of a value; bytes that are not UTF-8 are replaced instead of raising an exception.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string EncodeObjectSet(const ObjectSet& set) {
  json encoded = json::object();
  encoded["accounts"] = Encode(set.accounts());
  encoded["models"] = Encode(set.models());
  encoded["versions"] = Encode(set.versions());
  encoded["cascades"] = Encode(set.cascades());
  encoded["availability_zones"] = Encode(set.availability_zones());
  encoded["endpoints"] = Encode(set.endpoints());
  return Dump(encoded);
}

std::string EncodeObject(const ClientAccount& account) { return Dump(Encode(account)); }
std::string EncodeObject(const Model& model) { return Dump(Encode(model)); }
std::string EncodeObject(const Version& version) { return Dump(Encode(version)); }
std::string EncodeObject(const Cascade& cascade) { return Dump(Encode(cascade)); }
std::string EncodeObject(const AvailabilityZone& zone) { return Dump(Encode(zone)); }
std::string EncodeObject(const Endpoint& endpoint) { return Dump(Encode(endpoint)); }

}  // namespace bamboodock
