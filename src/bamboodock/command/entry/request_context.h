#pragma once

#include <string>
#include <utility>

#include "bamboodock/codec/error_codec.h"
#include "bamboodock/codec/signed_token.h"
#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/entry/attempt_client.h"
#include "bamboodock/command/entry/route_duty.h"
#include "bamboodock/command/entry/store_watch_duty.h"
#include "bamboodock/command/ledger/ledger_duty.h"
#include "bamboodock/core/id_generator.h"
#include "bamboodock/observe/timeline.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// What the handling of a request needs of its process.
struct RequestContext {
  ConfigDuty& config;
  RouteDuty& routes;
  LedgerDuty& ledger;
  AttemptClient& attempts;
  TimelineDuty& timeline;
  const TokenSigner& signer;
  IdGenerator& ids;
  StoreWatchDuty& watch;
};

/// Client account of the request's API key; fails with `kUnauthorized` or `kNoConfiguration`.
Result<ClientAccountId> Authenticate(const ConfigSnapshot& config, const HttpRequest& request);

/// Configuration under which a request may be accepted; fails with `kNotFresh`.
Result<Ref<const ConfigSnapshot>> FreshConfig(const ConfigDuty& config);

/// Runs `work`, which returns `Result<bool>`, and answers the caller when it fails.
template <class Work>
void AnswerFailure(TimelineDuty& timeline, ResponseWriter& writer, Work&& work) {
  HandleFailure(std::forward<Work>(work), [&](const Failure& failure) {
    timeline.Record(Event::kRequestRefused, RequestId(),
                    std::string(Name(failure.code)) + " " + failure.detail);
    writer.Send(FailureResponse(failure));
    return false;
  });
}

/// Deadline that the caller states in `X-Bamboodock-Deadline-Ms`, or the default.
Result<MonotonicTime> DeadlineOf(const HttpRequest& request);

}  // namespace bamboodock
