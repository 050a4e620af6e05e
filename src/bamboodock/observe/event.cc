#include "bamboodock/observe/event.h"

#include <array>

namespace bamboodock {
namespace {

struct EventName {
  Event event;
  std::string_view name;
};

constexpr std::array kEventNames{
    EventName{Event::kStarted, "started"},
    EventName{Event::kStopping, "stopping"},
    EventName{Event::kStopped, "stopped"},
    EventName{Event::kConfigInstalled, "config_installed"},
    EventName{Event::kPublishPrepared, "publish_prepared"},
    EventName{Event::kPublishAccepted, "publish_accepted"},
    EventName{Event::kPublishRefused, "publish_refused"},
    EventName{Event::kFreshnessLost, "freshness_lost"},
    EventName{Event::kFreshnessRegained, "freshness_regained"},
    EventName{Event::kVersionStopped, "version_stopped"},
    EventName{Event::kRequestAccepted, "request_accepted"},
    EventName{Event::kRequestRefused, "request_refused"},
    EventName{Event::kStepPlanned, "step_planned"},
    EventName{Event::kAttemptSent, "attempt_sent"},
    EventName{Event::kAttemptRefusedByPeer, "attempt_refused_by_peer"},
    EventName{Event::kAttemptResumed, "attempt_resumed"},
    EventName{Event::kFirstByte, "first_byte"},
    EventName{Event::kAnswerChecked, "answer_checked"},
    EventName{Event::kRequestFinished, "request_finished"},
    EventName{Event::kRequestFailed, "request_failed"},
    EventName{Event::kCallerLeft, "caller_left"},
    EventName{Event::kReattached, "reattached"},
    EventName{Event::kAttemptAdmitted, "attempt_admitted"},
    EventName{Event::kAttemptRefused, "attempt_refused"},
    EventName{Event::kAttemptStarted, "attempt_started"},
    EventName{Event::kAttemptFinished, "attempt_finished"},
    EventName{Event::kAttemptFailed, "attempt_failed"},
    EventName{Event::kAttemptCancelled, "attempt_cancelled"},
    EventName{Event::kClaimWritten, "claim_written"},
    EventName{Event::kClaimFound, "claim_found"},
    EventName{Event::kClaimFailed, "claim_failed"},
    EventName{Event::kEngineSilent, "engine_silent"},
    EventName{Event::kEndpointCold, "endpoint_cold"},
    EventName{Event::kLateCopyRejected, "late_copy_rejected"},
    EventName{Event::kBillingHeld, "billing_held"},
    EventName{Event::kBillingWritten, "billing_written"},
    EventName{Event::kBillingSettled, "billing_settled"},
    EventName{Event::kBillingTakenOver, "billing_taken_over"},
    EventName{Event::kStoreFailed, "store_failed"},
    EventName{Event::kStoreBack, "store_back"},
    EventName{Event::kPeerUnreachable, "peer_unreachable"},
    EventName{Event::kOrderSent, "order_sent"},
    EventName{Event::kOrderRefused, "order_refused"},
    EventName{Event::kLeaseAcquired, "lease_acquired"},
    EventName{Event::kLeaseLost, "lease_lost"},
    EventName{Event::kStoreHistoryLost, "store_history_lost"},
    EventName{Event::kStoreRowsIgnored, "store_rows_ignored"},
    EventName{Event::kStoreReturned, "store_returned"},
    EventName{Event::kStoreReadAgain, "store_read_again"},
    EventName{Event::kSettingsReloaded, "settings_reloaded"},
    EventName{Event::kRouteTableInstalled, "route_table_installed"},
    EventName{Event::kConfigRejected, "config_rejected"},
    EventName{Event::kEndpointAdded, "endpoint_added"},
    EventName{Event::kEndpointChanged, "endpoint_changed"},
    EventName{Event::kEndpointRemoved, "endpoint_removed"},
    EventName{Event::kEndpointRejected, "endpoint_rejected"},
    EventName{Event::kZoneEvacuated, "zone_evacuated"},
    EventName{Event::kZoneReturned, "zone_returned"},
    EventName{Event::kRolloutOrdered, "rollout_ordered"},
    EventName{Event::kRolloutJudgedBad, "rollout_judged_bad"},
    EventName{Event::kRolloutWritten, "rollout_written"},
    EventName{Event::kStoreWriteFailed, "store_write_failed"},
    EventName{Event::kPeerJoined, "peer_joined"},
    EventName{Event::kPeerLost, "peer_lost"},
    EventName{Event::kRequestRefusedByRouter, "request_refused_by_router"},
    EventName{Event::kAttemptPlanned, "attempt_planned"},
    EventName{Event::kAttemptEnded, "attempt_ended"},
    EventName{Event::kRequestAnswered, "request_answered"},
    EventName{Event::kRequestBroken, "request_broken"},
    EventName{Event::kCallerClosed, "caller_closed"},
    EventName{Event::kCallerRejected, "caller_rejected"},
    EventName{Event::kLinesDropped, "lines_dropped"},
    EventName{Event::kReadinessChanged, "readiness_changed"},
    EventName{Event::kPeerHeard, "peer_heard"},
    EventName{Event::kRolloutShareChanged, "rollout_share_changed"},
    EventName{Event::kEndpointDraining, "endpoint_draining"},
    EventName{Event::kAnswerLostEarly, "answer_lost_early"},
    EventName{Event::kPromptPartQuarantined, "prompt_part_quarantined"},
    EventName{Event::kPromptPartReleased, "prompt_part_released"},
    EventName{Event::kPromptPartProbed, "prompt_part_probed"},
    EventName{Event::kRemovalDeferred, "removal_deferred"},
    EventName{Event::kRateLimitChanged, "rate_limit_changed"},
    EventName{Event::kLoadReportUnreadable, "load_report_unreadable"},
    EventName{Event::kVersionVerdict, "version_verdict"},
};

}  // namespace

std::string_view Name(Event event) {
  for (const EventName& entry : kEventNames) {
    if (entry.event == event) return entry.name;
  }
  return "unknown_event";
}

}  // namespace bamboodock
