#include "bamboodock/codec/operator_request.h"

#include <array>
#include <nlohmann/json.hpp>

namespace bamboodock {
namespace {

using Json = nlohmann::json;

constexpr std::array kStages{
    std::pair{"active", VersionStage::kActive},
    std::pair{"no_new_sessions", VersionStage::kNoNewSessions},
    std::pair{"withdrawn", VersionStage::kWithdrawn},
};

Result<Json> ParseObject(const std::string& body) {
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return Raise(ResultCode::kBadRequest, "the body is not a JSON object");
  return json;
}

Result<std::string> Text(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_string() || found->get<std::string>().empty()) {
    return Raise(ResultCode::kBadRequest,
                 std::string("field '") + name + "' must be a non-empty string");
  }
  return found->get<std::string>();
}

}  // namespace

Result<PublishRequest> DecodePublishRequest(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseObject(body));
  BOOST_LEAF_AUTO(publication, Text(json, "publication"));
  const auto set = json.find("set");
  if (set == json.end()) return Raise(ResultCode::kBadRequest, "field 'set' is missing");
  return PublishRequest{PublicationId(publication), set->dump()};
}

Result<ZoneRequest> DecodeZoneRequest(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseObject(body));
  BOOST_LEAF_AUTO(publication, Text(json, "publication"));
  BOOST_LEAF_AUTO(zone, Text(json, "availability_zone"));
  return ZoneRequest{PublicationId(publication), AvailabilityZoneId(zone)};
}

Result<WithdrawRequest> DecodeWithdrawRequest(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseObject(body));
  BOOST_LEAF_AUTO(publication, Text(json, "publication"));
  BOOST_LEAF_AUTO(model, Text(json, "model"));
  BOOST_LEAF_AUTO(version, Text(json, "version"));
  BOOST_LEAF_AUTO(stage_name, Text(json, "stage"));
  for (const auto& [name, stage] : kStages) {
    if (stage_name != name) continue;
    return WithdrawRequest{PublicationId(publication), ModelId(model), VersionId(version), stage};
  }
  return Raise(ResultCode::kBadRequest, "field 'stage' has the unknown value '" + stage_name + "'");
}

}  // namespace bamboodock
