#include "bamboodock/standin/command/platform_commands.h"

#include "bamboodock/standin/inject_fault.h"
#include "bamboodock/standin/routes.h"

namespace bamboodock::standin {
namespace {

using nlohmann::json;

struct JsonReply {
  int status = 200;
  json body;
};

TableTransaction DecodeTransaction(const json& body) {
  TableTransaction transaction;
  for (const json& item : body.value("conditions", json::array())) {
    transaction.conditions.push_back(
        {item.at("key").get<std::string>(), RowVersion(item.at("version").get<RowVersion::rep>())});
  }
  for (const json& item : body.value("puts", json::array())) {
    transaction.puts.push_back(
        {item.at("key").get<std::string>(), item.at("value").get<std::string>()});
  }
  transaction.deletes = body.value("deletes", std::vector<std::string>());
  return transaction;
}

HostRecord DecodeHost(const json& body) {
  HostRecord host;
  host.id = HostId(body.at("id").get<std::string>());
  host.address = body.value("address", "");
  host.availability_zone = AvailabilityZoneId(body.value("availability_zone", ""));
  host.leaving = body.value("leaving", false);
  return host;
}

Rating DecodeRating(const json& body) {
  Rating rating;
  rating.request = RequestId(body.at("request").get<std::string>());
  rating.model = ModelId(body.value("model", ""));
  rating.version = VersionId(body.value("version", ""));
  rating.kind = body.value("kind", "");
  rating.score = Ratio(body.value("score", 0.0));
  return rating;
}

JsonReply Encode(const CommitOutcome& outcome) {
  if (const auto* version = std::get_if<RowVersion>(&outcome)) {
    return {200, {{"version", version->value()}}};
  }
  const auto& conflict = std::get<RowConflict>(outcome);
  return {409, {{"key", conflict.key}, {"version", conflict.version.value()}}};
}

}  // namespace

bool PlatformCommands::Handle(const HttpRequest& request, ResponseWriter& writer) {
  using Method = void (PlatformCommands::*)(const HttpRequest&, ResponseWriter&);
  static constexpr std::array kRoutes{
      Route<Method>{"POST", "/table/commit", &PlatformCommands::Commit},
      Route<Method>{"PUT", "/objects/", &PlatformCommands::PutObject},
      Route<Method>{"POST", "/hosts", &PlatformCommands::AnnounceHost},
      Route<Method>{"POST", "/ratings", &PlatformCommands::AddRatings},
      Route<Method>{"POST", "/faults", &PlatformCommands::SetFault},
  };
  try {
    return Dispatch(*this, kRoutes, request, writer);
  } catch (const json::exception& error) {
    SendError(writer, 400, error.what());
    return true;
  }
}

template <class Change>
void PlatformCommands::Apply(const std::string& target, ResponseWriter& writer, Change change) {
  const Fault fault = faults_.TakeForWrite(target);
  if (!InjectFault(fault, faults_, writer)) return;
  const auto reply = duty_.Run(std::move(change));
  if (!reply) return SendError(writer, 503, "state duty's ring is full, or the duty is stopping");
  if (fault.mode == FaultMode::kLoseAnswer) return writer.Close();
  SendJson(writer, reply->status, reply->body);
}

void PlatformCommands::Commit(const HttpRequest& request, ResponseWriter& writer) {
  const TableTransaction transaction = DecodeTransaction(ParseBody(request));
  Apply("table", writer, [&] { return Encode(state_.Commit(transaction)); });
}

void PlatformCommands::PutObject(const HttpRequest& request, ResponseWriter& writer) {
  const ObjectHash hash(LastPathSegment(request));
  Apply("objects", writer, [&] {
    state_.PutObject(hash, request.body);
    return JsonReply{200, {{"hash", hash.value()}}};
  });
}

void PlatformCommands::AnnounceHost(const HttpRequest& request, ResponseWriter& writer) {
  const HostRecord host = DecodeHost(ParseBody(request));
  Apply("hosts", writer, [&] {
    state_.AnnounceHost(host);
    return JsonReply{200, {{"id", host.id.value()}}};
  });
}

void PlatformCommands::AddRatings(const HttpRequest& request, ResponseWriter& writer) {
  const json body = ParseBody(request);
  std::vector<Rating> ratings;
  if (body.is_object() && body.contains("ratings")) {
    for (const json& item : body.at("ratings")) ratings.push_back(DecodeRating(item));
  } else {
    ratings.push_back(DecodeRating(body));
  }
  Apply("ratings", writer, [&] {
    std::uint64_t cursor = 0;
    for (const Rating& rating : ratings) cursor = state_.AddRating(rating);
    return JsonReply{200, {{"cursor", cursor}}};
  });
}

void PlatformCommands::SetFault(const HttpRequest& request, ResponseWriter& writer) {
  if (!faults_.Set(ParseBody(request))) return SendError(writer, 400, "expected a fault mode");
  SendJson(writer, 200, json::object());
}

}  // namespace bamboodock::standin
