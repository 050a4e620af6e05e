#include "bamboodock/codec/row_codec.h"

#include <nlohmann/json.hpp>

#include "bamboodock/codec/digest.h"

namespace bamboodock {
namespace {

using Json = nlohmann::json;

template <class Row, class DecodeFields>
Result<Row> Decode(const std::string& text, DecodeFields decode_fields) {
  try {
    Row row;
    decode_fields(Json::parse(text), row);
    return row;
  } catch (const Json::exception& error) {
    return Raise(ResultCode::kBadMessage, error.what());
  }
}

}  // namespace

std::string PublicationKey(const PublicationId& id) { return "publications/" + id.value(); }

std::string BillingKey(const RequestId& id) { return "billing/" + id.value(); }

std::string ClaimKey(const ClientAccountId& account, const IdempotencyKey& key) {
  return "claims/" + account.value() + "/" + Sha256Hex(key.value());
}

std::string LeaseKey(const EndpointId& endpoint) { return "leases/" + endpoint.value(); }

std::string EncodeRow(const HeadRow& row) {
  return Json{{"epoch", row.epoch.value()},
              {"publication", row.publication.value()},
              {"object", row.object.value()}}
      .dump();
}

std::string EncodeRow(const BillingRecord& row) {
  return Json{{"request", row.request.value()},
              {"account", row.account.value()},
              {"model", row.model.value()},
              {"version", row.version.value()},
              {"step", row.step.value()},
              {"prompt", row.prompt.value()},
              {"completion", row.completion.value()},
              {"cost", row.cost.value()}}
      .dump();
}

std::string EncodeRow(const ClaimRow& row) {
  const std::vector<std::uint8_t> body(row.body.begin(), row.body.end());
  return Json{{"attempt", row.attempt.value()},
              {"owner", row.owner.value()},
              {"state", static_cast<int>(row.state)},
              {"call", row.call.value()},
              {"status", row.status},
              {"body", body}}
      .dump();
}

std::string EncodeRow(const LeaseRow& row, std::uint64_t renewal) {
  return Json{
      {"holder", row.holder.value()}, {"fencing", row.fencing.value()}, {"renewal", renewal}}
      .dump();
}

Result<HeadRow> DecodeHeadRow(const std::string& text) {
  return Decode<HeadRow>(text, [](const Json& json, HeadRow& row) {
    row.epoch = Epoch(json.at("epoch"));
    row.publication = PublicationId(json.at("publication"));
    row.object = ObjectHash(json.at("object"));
  });
}

Result<BillingRecord> DecodeBillingRecord(const std::string& text) {
  return Decode<BillingRecord>(text, [](const Json& json, BillingRecord& row) {
    row.request = RequestId(json.at("request"));
    row.account = ClientAccountId(json.at("account"));
    row.model = ModelId(json.at("model"));
    row.version = VersionId(json.at("version"));
    row.step = StepNumber(json.at("step"));
    row.prompt = Tokens(json.at("prompt"));
    row.completion = Tokens(json.at("completion"));
    row.cost = CostMicros(json.at("cost"));
  });
}

Result<ClaimRow> DecodeClaimRow(const std::string& text) {
  return Decode<ClaimRow>(text, [](const Json& json, ClaimRow& row) {
    row.attempt = AttemptId(json.at("attempt"));
    row.owner = IncarnationId(json.at("owner"));
    row.state = static_cast<ClaimState>(json.at("state").get<int>());
    row.call = ObjectHash(json.at("call"));
    row.status = json.at("status");
    const auto body = json.at("body").get<std::vector<std::uint8_t>>();
    row.body.assign(body.begin(), body.end());
  });
}

Result<LeaseRow> DecodeLeaseRow(const std::string& text) {
  return Decode<LeaseRow>(text, [](const Json& json, LeaseRow& row) {
    row.holder = IncarnationId(json.at("holder"));
    row.fencing = FencingToken(json.at("fencing"));
  });
}

}  // namespace bamboodock
