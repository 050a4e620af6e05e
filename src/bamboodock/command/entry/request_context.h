#pragma once

#include "bamboodock/codec/signed_token.h"
#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/command/entry/attempt_client.h"
#include "bamboodock/command/entry/route_duty.h"
#include "bamboodock/command/ledger/ledger_duty.h"
#include "bamboodock/core/id_source.h"
#include "bamboodock/observe/timeline.h"

namespace bamboodock {

/// What the handling of a request needs of its process.
struct RequestContext {
  ConfigDuty& config;
  RouteDuty& routes;
  LedgerDuty& ledger;
  AttemptClient& attempts;
  TimelineDuty& timeline;
  const TokenSigner& signer;
  IdSource& ids;
};

/// Client account of the request's API key; fails with `kUnauthorized` or `kNoConfiguration`.
Result<ClientAccountId> Authenticate(const ConfigSnapshot& config, const HttpRequest& request);

/// Configuration under which a request may be accepted; fails with `kNotFresh`.
Result<Ref<const ConfigSnapshot>> FreshConfig(const ConfigDuty& config);

/// Deadline that the caller states in `X-Bamboodock-Deadline-Ms`, or the default.
Result<MonotonicTime> DeadlineOf(const HttpRequest& request);

}  // namespace bamboodock
