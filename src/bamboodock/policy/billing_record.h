#pragma once

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// Content of row `billing/<request>`; the cost includes all earlier steps of the request.
struct BillingRecord {
  RequestId request;
  ClientAccountId account;
  ModelId model;
  VersionId version;
  StepNumber step;
  Tokens prompt;
  Tokens completion;
  CostMicros cost;
  friend bool operator==(const BillingRecord&, const BillingRecord&) = default;
};

}  // namespace bamboodock
