#pragma once

namespace bamboodock {

class AccountLimiter;
class AdmissionRamp;
class AttemptRegistry;
class Backoff;
class BillingBacklog;
class ClaimRule;
class EndpointChooser;
class FreshnessRule;
class LeaseRule;
class PublicationRule;
class Random;
class RetryBudget;
class StreamAssembler;
class WitnessRule;
struct AttemptStart;
struct BillingRecord;
struct ClaimRow;
struct EndpointQuery;
struct EndpointView;

}  // namespace bamboodock
