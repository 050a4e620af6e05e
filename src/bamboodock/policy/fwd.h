#pragma once

namespace bamboodock {

class AccountLimiter;
class AdmissionRamp;
class AnswerCheck;
class Backoff;
class EndpointChooser;
class MeanTokenProbability;
class QualityEstimate;
class QualityTable;
class Random;
class RetryBudget;
class RolloutGuard;
class SequentialTest;
class Shedding;
class VersionChooser;
class VersionEvidence;
class ZoneRamp;
struct AnswerFacts;
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
