#pragma once

namespace bamboodock {

class AccountLimiter;
class AdmissionRamp;
class Backoff;
class EndpointChooser;
class Random;
class RetryBudget;
struct EndpointQuery;
struct EndpointView;

}  // namespace bamboodock
