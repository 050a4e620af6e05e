#include "bamboodock/command/entry/entry_commands.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "bamboodock/codec/error_codec.h"
#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/codec/operator_codec.h"
#include "bamboodock/codec/operator_request.h"
#include "bamboodock/command/entry/withdraw_duty.h"
#include "bamboodock/query/common/process_queries.h"

namespace bamboodock {
namespace {

/// Time to wait for sidecars to report a new epoch.
constexpr std::chrono::milliseconds kInForceTimeout{3000};

}  // namespace

HttpResponse EntryCommands::Answer(const HttpRequest& request) {
  struct Route {
    std::string_view path;
    Result<HttpResponse> (EntryCommands::*method)(const HttpRequest&);
  };
  static constexpr std::array kRoutes{
      Route{"/commands/publish", &EntryCommands::Publish},
      Route{"/commands/drain", &EntryCommands::Drain},
      Route{"/commands/restore", &EntryCommands::Restore},
      Route{"/commands/withdraw", &EntryCommands::Withdraw},
  };
  return HandleFailure(
      [&]() -> Result<HttpResponse> {
        for (const Route& route : kRoutes) {
          if (route.path != request.path) continue;
          if (request.method == "POST") return (this->*route.method)(request);
          return Raise(ResultCode::kMethodNotAllowed, "commands accept only the method POST");
        }
        return Raise(ResultCode::kNotFound,
                     "unknown command; expected publish, drain, restore or withdraw");
      },
      [](const Failure& failure) { return FailureResponse(failure); });
}

Result<HttpResponse> EntryCommands::Publish(const HttpRequest& request) {
  BOOST_LEAF_AUTO(publish, DecodePublishRequest(request.body));
  DecodedObjectSet decoded = DecodeObjectSet(publish.set);
  if (!decoded.set) return JsonResponse(422, EncodeObjectSetErrors(decoded.errors));
  BOOST_LEAF_AUTO(outcome, publisher_.Publish(publish.publication, decoded.set));
  return Report(publish.publication, std::move(outcome));
}

Result<HttpResponse> EntryCommands::Drain(const HttpRequest& request) {
  return SetDrained(request, true);
}

Result<HttpResponse> EntryCommands::Restore(const HttpRequest& request) {
  return SetDrained(request, false);
}

Result<HttpResponse> EntryCommands::SetDrained(const HttpRequest& request, bool drained) {
  BOOST_LEAF_AUTO(zone, DecodeZoneRequest(request.body));
  const ObjectSetEdit edit = [&](const ObjectSet* current) -> Result<Ref<const ObjectSet>> {
    if (current == nullptr || current->Find(zone.availability_zone) == nullptr) {
      return Raise(ResultCode::kNotFound, "availability zone " + zone.availability_zone.value() +
                                              " is not in the object set in force");
    }
    return ObjectSetBuilder(*current).SetDrained(zone.availability_zone, drained).Build();
  };
  BOOST_LEAF_AUTO(outcome, publisher_.Edit(zone.publication, edit));
  return Report(zone.publication, std::move(outcome));
}

Result<HttpResponse> EntryCommands::Withdraw(const HttpRequest& request) {
  BOOST_LEAF_AUTO(withdraw, DecodeWithdrawRequest(request.body));
  const ObjectSetEdit edit = MakeStageEdit(withdraw.model, withdraw.version, withdraw.stage);
  BOOST_LEAF_AUTO(outcome, publisher_.Edit(withdraw.publication, edit));
  return Report(withdraw.publication, std::move(outcome));
}

HttpResponse EntryCommands::Report(const PublicationId& publication, PublishOutcome outcome) const {
  using Json = nlohmann::json;
  if (!outcome.errors.empty()) return JsonResponse(422, EncodeObjectSetErrors(outcome.errors));
  if (!outcome.winner.empty()) {
    const Failure failure{ResultCode::kPublishConflict,
                          "publication " + outcome.winner.value() + " was accepted first"};
    Json body = Json::parse(FailureBody(failure));
    body["winner"] = outcome.winner.value();
    return JsonResponse(409, body.dump());
  }
  AddSidecarEpochs(outcome);
  Json in_force = Json::array();
  for (const ProcessEpoch& confirmed : outcome.in_force) {
    in_force.push_back({{"process", confirmed.process}, {"epoch", confirmed.epoch.value()}});
  }
  return JsonResponse(200, Json{{"epoch", outcome.epoch.value()},
                                {"publication", publication.value()},
                                {"in_force", std::move(in_force)}}
                               .dump());
}

void EntryCommands::AddSidecarEpochs(PublishOutcome& outcome) const {
  const auto reached = [&](const EndpointReport& endpoint) {
    return !endpoint.has_report || endpoint.report.epoch >= outcome.epoch;
  };
  routes_.WaitUntil(std::chrono::steady_clock::now() + kInForceTimeout,
                    [&](const RouteSnapshot& s) {
                      return std::all_of(s.endpoints.begin(), s.endpoints.end(), reached);
                    });
  for (const EndpointReport& endpoint : routes_.snapshot()->endpoints) {
    if (!endpoint.has_report) continue;
    outcome.in_force.push_back({endpoint.endpoint.value(), endpoint.report.epoch});
  }
}

}  // namespace bamboodock
