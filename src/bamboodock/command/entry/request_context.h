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

/// Objects of the entry process that request handlers use; they outlive all requests.
struct RequestContext {
  ConfigDuty& config;
  RouteDuty& routes;
  LedgerDuty& ledger;
  AttemptClient& attempts;
  TimelineDuty& timeline;
  const TokenSigner& signer;
  IdGenerator& ids;
  StoreWatchDuty& store_watch;
};

/// Returns the client account of the request's API key; fails with `kUnauthorized`, or with
/// `kNoConfiguration` before the first publication.
Result<ClientAccountId> Authenticate(const ConfigSnapshot& config, const HttpRequest& request);

/// Returns the configuration under which a request may be accepted; fails with `kNotFresh` when it
/// is not confirmed to be the newest. Its set is null before the first publication.
Result<Ref<const ConfigSnapshot>> FreshConfig(const ConfigDuty& config);

/// Runs `work`, which returns `Result<bool>`; when it fails, sends the failure to the caller.
template <class Work>
void RunOrSendFailure(TimelineDuty& timeline, ResponseWriter& writer, Work&& work) {
  HandleFailure(std::forward<Work>(work), [&](const Failure& failure) {
    timeline.Record(Event::kRequestRefused, RequestId(),
                    std::string(Name(failure.code)) + " " + failure.detail);
    writer.Send(FailureResponse(failure));
    return false;
  });
}

/// Deadline from the header `X-Bamboodock-Deadline-Ms` (milliseconds from now, at most 10 min), or
/// the default without the header; fails with `kBadRequest` unless it is a positive integer.
Result<MonotonicTime> ParseDeadline(const HttpRequest& request);

}  // namespace bamboodock
