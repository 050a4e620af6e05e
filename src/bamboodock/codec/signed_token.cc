#include "bamboodock/codec/signed_token.h"

#include <nlohmann/json.hpp>

#include "bamboodock/codec/digest.h"

namespace bamboodock {
namespace {

using Json = nlohmann::json;

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    text.push_back(kDigits[static_cast<unsigned char>(c) >> 4U]);
    text.push_back(kDigits[static_cast<unsigned char>(c) & 0x0fU]);
  }
  return text;
}

int HexDigitValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

bool FromHex(std::string_view text, std::string& bytes) {
  if (text.size() % 2 != 0) return false;
  for (std::size_t i = 0; i < text.size(); i += 2) {
    const int high = HexDigitValue(text[i]);
    const int low = HexDigitValue(text[i + 1]);
    if (high < 0 || low < 0) return false;
    bytes.push_back(static_cast<char>(high * 16 + low));
  }
  return true;
}

std::string SignPayload(const std::string& key, const Json& json) {
  const std::string payload = ToHex(json.dump());
  return payload + "." + HmacSha256Hex(key, payload);
}

Result<Json> VerifyPayload(const std::string& key, std::string_view token, ResultCode code) {
  const std::size_t dot = token.find('.');
  if (dot == std::string_view::npos) return Raise(code, "the token has no signature");
  const std::string_view payload = token.substr(0, dot);
  if (!EqualInConstantTime(HmacSha256Hex(key, payload), token.substr(dot + 1))) {
    return Raise(code, "the signature of the token does not match its payload");
  }
  std::string text;
  if (!FromHex(payload, text)) return Raise(code, "the payload of the token is not hexadecimal");
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return Raise(code, "the payload of the token is not a JSON object");
  return json;
}

/// Empty when the field is missing or not a string.
std::string Field(const Json& json, const char* name) {
  const auto found = json.find(name);
  return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

std::string TokenSigner::Sign(const SessionPin& pin) const {
  return SignPayload(key_, {{"t", "pin"},
                            {"s", pin.session.value()},
                            {"a", pin.account.value()},
                            {"m", pin.model.value()},
                            {"v", pin.version.value()}});
}

std::string TokenSigner::Sign(const RequestHandle& handle) const {
  return SignPayload(key_, {{"t", "handle"},
                            {"r", handle.request.value()},
                            {"a", handle.account.value()},
                            {"n", handle.attempt.value()},
                            {"e", handle.endpoint.value()}});
}

Result<SessionPin> TokenSigner::VerifyPin(std::string_view token) const {
  BOOST_LEAF_AUTO(json, VerifyPayload(key_, token, ResultCode::kBadSession));
  if (Field(json, "t") != "pin") return Raise(ResultCode::kBadSession, "not a session token");
  return SessionPin{SessionId(Field(json, "s")), ClientAccountId(Field(json, "a")),
                    ModelId(Field(json, "m")), VersionId(Field(json, "v"))};
}

Result<RequestHandle> TokenSigner::VerifyHandle(std::string_view token) const {
  BOOST_LEAF_AUTO(json, VerifyPayload(key_, token, ResultCode::kBadHandle));
  if (Field(json, "t") != "handle") return Raise(ResultCode::kBadHandle, "not a request handle");
  return RequestHandle{RequestId(Field(json, "r")), ClientAccountId(Field(json, "a")),
                       AttemptId(Field(json, "n")), EndpointId(Field(json, "e"))};
}

}  // namespace bamboodock
