#pragma once

#include <cstdint>
#include <string_view>

namespace bamboodock {

/// Numbered events of the log and the timeline; docs/events.md describes each.
enum class Event : std::uint16_t {
  // 1xx: process.
  kStarted = 100,
  kStopping = 102,
  kStopped = 103,
  // 2xx: configuration.
  kConfigInstalled = 200,
  kPublishPrepared = 201,
  kPublishAccepted = 202,
  kPublishRefused = 203,
  kFreshnessLost = 204,
  kFreshnessRegained = 205,
  kVersionStopped = 207,
  // 3xx: request at the entry.
  kRequestAccepted = 300,
  kRequestRefused = 301,
  kStepPlanned = 302,
  kAttemptSent = 303,
  kAttemptRefusedByPeer = 304,
  kAttemptResumed = 305,
  kFirstByte = 306,
  kAnswerChecked = 307,
  kRequestFinished = 308,
  kRequestFailed = 309,
  kCallerLeft = 310,
  kReattached = 311,
  // 4xx: attempt at the sidecar.
  kAttemptAdmitted = 400,
  kAttemptRefused = 401,
  kAttemptStarted = 402,
  kAttemptFinished = 403,
  kAttemptFailed = 404,
  kAttemptCancelled = 405,
  kClaimWritten = 406,
  kClaimFound = 407,
  kClaimFailed = 408,
  kEngineSilent = 409,
  kEndpointCold = 410,
  kLateCopyRejected = 411,
  // 5xx: billing.
  kBillingHeld = 500,
  kBillingWritten = 501,
  kBillingSettled = 502,
  kBillingTakenOver = 503,
  // 6xx: external systems and peers.
  kStoreFailed = 600,
  kStoreBack = 601,
  kPeerUnreachable = 602,
  kOrderSent = 603,
  kOrderRefused = 604,
  kLeaseAcquired = 605,
  kLeaseLost = 606,
  kStoreHistoryLost = 607,
  kStoreRowsIgnored = 608,
  kStoreReturned = 609,
  kStoreReadAgain = 610,
  // 7xx: router.
  kSettingsReloaded = 700,
  kRouteTableInstalled = 701,
  kConfigRejected = 702,
  kEndpointAdded = 703,
  kEndpointChanged = 704,
  kEndpointRemoved = 705,
  kEndpointRejected = 706,
  kZoneEvacuated = 707,
  kZoneReturned = 708,
  kRolloutOrdered = 709,
  kRolloutJudgedBad = 710,
  kRolloutWritten = 711,
  kStoreWriteFailed = 712,
  kPeerJoined = 713,
  kPeerLost = 714,
  kRequestRefusedByRouter = 715,
  kAttemptPlanned = 716,
  kAttemptEnded = 717,
  kRequestAnswered = 718,
  kRequestBroken = 719,
  kCallerClosed = 720,
  kCallerRejected = 721,
  kLinesDropped = 722,
  kReadinessChanged = 723,
  kPeerHeard = 724,
  kRolloutShareChanged = 725,
  kEndpointDraining = 726,
  kAnswerLostEarly = 727,
  kPromptPartQuarantined = 728,
  kPromptPartReleased = 729,
  kPromptPartProbed = 730,
  kRemovalDeferred = 731,
  kRateLimitChanged = 732,
  kLoadReportUnreadable = 735,
  kVersionVerdict = 736,
};

/// Stable name of an event in the log, for example "attempt_admitted".
std::string_view Name(Event event);

}  // namespace bamboodock
