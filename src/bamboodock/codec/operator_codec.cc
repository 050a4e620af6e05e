#include "bamboodock/codec/operator_codec.h"

#include <nlohmann/json.hpp>

#include "bamboodock/codec/object_set_codec.h"

namespace bamboodock {
namespace {

using nlohmann::json;

constexpr int kUnprocessable = 422;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string StringAt(const json& object, const char* name) {
  if (!object.is_object()) return {};
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

json Member(const json& object, const char* name) {
  if (!object.is_object()) return {};
  const auto found = object.find(name);
  return found == object.end() ? json() : *found;
}

std::vector<ObjectSetError> DecodeObjectSetErrors(const json& list) {
  std::vector<ObjectSetError> errors;
  if (!list.is_array()) return errors;
  for (const json& entry : list) {
    errors.push_back(
        {StringAt(entry, "object"), StringAt(entry, "field"), StringAt(entry, "message")});
  }
  return errors;
}

}  // namespace

std::string EncodePublish(const PublicationId& publication, std::string_view set_text) {
  return R"({"publication":)" + Dump(publication.value()) + R"(,"set":)" + std::string(set_text) +
         "}";
}

std::string EncodeZoneCommand(const PublicationId& publication, const AvailabilityZoneId& zone) {
  json body = json::object();
  body["publication"] = publication.value();
  body["availability_zone"] = zone.value();
  return Dump(body);
}

std::string EncodeWithdraw(const PublicationId& publication, const ModelId& model,
                           const VersionId& version, VersionStage stage) {
  json body = json::object();
  body["publication"] = publication.value();
  body["model"] = model.value();
  body["version"] = version.value();
  body["stage"] = std::string(Name(stage));
  return Dump(body);
}

bool IsJson(std::string_view text) { return json::accept(text); }

bool IsReceipt(std::string_view body) {
  const json receipt = json::parse(body, nullptr, false);
  return receipt.is_object() && receipt.contains("epoch") &&
         receipt.at("epoch").is_number_unsigned();
}

OperatorError DecodeOperatorError(const HttpResponse& response) {
  const json body = json::parse(response.body, nullptr, false);
  const json error = Member(body, "error");
  OperatorError decoded;
  decoded.message = StringAt(error, "message");
  decoded.type = StringAt(error, "type");
  decoded.winner = PublicationId(StringAt(body, "winner"));
  decoded.set_errors = DecodeObjectSetErrors(Member(body, "errors"));
  const std::string run = StringAt(error, "run");
  const bool is_client_error =
      response.status >= kFirstClientError && response.status < kFirstServerError;
  decoded.run = run.empty() && is_client_error ? RunState::kNotRun : RunStateFromName(run);
  if (decoded.message.empty()) {
    decoded.message =
        response.status == kUnprocessable && !decoded.set_errors.empty()
            ? "the object set was rejected"
            : "unexpected response with HTTP status " + std::to_string(response.status);
  }
  return decoded;
}

std::string EncodeOperatorError(const Failure& failure, const PublicationId& publication) {
  json body = json::object();
  body["error"] = {{"message", failure.detail},
                   {"type", std::string(Name(failure.code))},
                   {"code", static_cast<int>(failure.code)},
                   {"run", std::string(Name(failure.run))}};
  if (!publication.empty()) body["publication"] = publication.value();
  return Dump(body);
}

std::string EncodeObjectSetErrors(const std::vector<ObjectSetError>& errors) {
  json list = json::array();
  for (const ObjectSetError& error : errors) {
    list.push_back({{"object", error.object}, {"field", error.field}, {"message", error.message}});
  }
  json body = json::object();
  body["errors"] = std::move(list);
  return Dump(body);
}

}  // namespace bamboodock
