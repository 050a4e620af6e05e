#pragma once

#include <cstdint>

namespace bamboodock {

class AccountLimiter;
class AdmissionRamp;
class AnswerCheck;
class AttemptRegistry;
class Backoff;
class BillingBacklog;
class ClaimRule;
class EndpointChooser;
class FreshnessRule;
class LeaseRule;
class MeanTokenProbability;
class PromptQuarantine;
class PublicationRule;
class QualityEstimate;
class QualityTable;
class Random;
class RetryBudget;
class RolloutGuard;
class SequentialTest;
class Shedding;
class StreamAssembler;
class VersionChooser;
class VersionEvidence;
class WitnessRule;
class ZoneRamp;
struct AnswerStatistics;
struct AttemptStart;
struct BillingRecord;
struct ClaimRow;
struct EndpointQuery;
struct EndpointView;
struct EvidenceCounters;
struct Quality;
struct QualityKey;
struct RolloutLimits;
struct SequentialLimits;
struct StepOption;
struct VersionQuery;

}  // namespace bamboodock
