#pragma once

namespace bamboodock {

class AttemptRegistry;
class BillingBacklog;
class ClaimRule;
class FreshnessRule;
class LeaseRule;
class PublicationRule;
class StreamAssembler;
class WitnessRule;
struct AttemptStart;
struct BillingRecord;
struct ClaimRow;

}  // namespace bamboodock
