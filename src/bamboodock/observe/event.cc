#include "bamboodock/observe/event.h"

#include <array>

namespace bamboodock {
namespace {

struct Row {
  Event event;
  std::string_view name;
};

constexpr std::array kRows{
    Row{Event::kStarted, "started"},
    Row{Event::kStopping, "stopping"},
    Row{Event::kStopped, "stopped"},
    Row{Event::kConfigInstalled, "config_installed"},
    Row{Event::kPublishPrepared, "publish_prepared"},
    Row{Event::kPublishAccepted, "publish_accepted"},
    Row{Event::kPublishRefused, "publish_refused"},
    Row{Event::kFreshnessLost, "freshness_lost"},
    Row{Event::kFreshnessRegained, "freshness_regained"},
    Row{Event::kVersionStopped, "version_stopped"},
    Row{Event::kRequestAccepted, "request_accepted"},
    Row{Event::kRequestRefused, "request_refused"},
    Row{Event::kStepPlanned, "step_planned"},
    Row{Event::kAttemptSent, "attempt_sent"},
    Row{Event::kAttemptRefusedByPeer, "attempt_refused_by_peer"},
    Row{Event::kAttemptResumed, "attempt_resumed"},
    Row{Event::kFirstByte, "first_byte"},
    Row{Event::kAnswerChecked, "answer_checked"},
    Row{Event::kRequestFinished, "request_finished"},
    Row{Event::kRequestFailed, "request_failed"},
    Row{Event::kCallerLeft, "caller_left"},
    Row{Event::kReattached, "reattached"},
    Row{Event::kAttemptAdmitted, "attempt_admitted"},
    Row{Event::kAttemptRefused, "attempt_refused"},
    Row{Event::kAttemptStarted, "attempt_started"},
    Row{Event::kAttemptFinished, "attempt_finished"},
    Row{Event::kAttemptFailed, "attempt_failed"},
    Row{Event::kAttemptCancelled, "attempt_cancelled"},
    Row{Event::kClaimWritten, "claim_written"},
    Row{Event::kClaimFound, "claim_found"},
    Row{Event::kClaimFailed, "claim_failed"},
    Row{Event::kEngineSilent, "engine_silent"},
    Row{Event::kEndpointCold, "endpoint_cold"},
    Row{Event::kLateCopyRejected, "late_copy_rejected"},
    Row{Event::kBillingHeld, "billing_held"},
    Row{Event::kBillingWritten, "billing_written"},
    Row{Event::kBillingSettled, "billing_settled"},
    Row{Event::kBillingTakenOver, "billing_taken_over"},
    Row{Event::kStoreFailed, "store_failed"},
    Row{Event::kStoreBack, "store_back"},
    Row{Event::kPeerUnreachable, "peer_unreachable"},
    Row{Event::kOrderSent, "order_sent"},
    Row{Event::kOrderRefused, "order_refused"},
    Row{Event::kLeaseAcquired, "lease_acquired"},
    Row{Event::kLeaseLost, "lease_lost"},
    Row{Event::kSettingsReloaded, "settings_reloaded"},
    Row{Event::kRouteTableInstalled, "route_table_installed"},
    Row{Event::kConfigRejected, "config_rejected"},
    Row{Event::kEndpointAdded, "endpoint_added"},
    Row{Event::kEndpointChanged, "endpoint_changed"},
    Row{Event::kEndpointRemoved, "endpoint_removed"},
    Row{Event::kEndpointRejected, "endpoint_rejected"},
    Row{Event::kZoneEvacuated, "zone_evacuated"},
    Row{Event::kZoneReturned, "zone_returned"},
    Row{Event::kRolloutOrdered, "rollout_ordered"},
    Row{Event::kRolloutJudgedBad, "rollout_judged_bad"},
    Row{Event::kRolloutWritten, "rollout_written"},
    Row{Event::kStoreWriteFailed, "store_write_failed"},
    Row{Event::kPeerJoined, "peer_joined"},
    Row{Event::kPeerLost, "peer_lost"},
    Row{Event::kRequestRefusedByRouter, "request_refused_by_router"},
    Row{Event::kAttemptPlanned, "attempt_planned"},
    Row{Event::kAttemptEnded, "attempt_ended"},
    Row{Event::kRequestAnswered, "request_answered"},
    Row{Event::kRequestBroken, "request_broken"},
    Row{Event::kCallerClosed, "caller_closed"},
    Row{Event::kCallerRejected, "caller_rejected"},
    Row{Event::kLinesDropped, "lines_dropped"},
    Row{Event::kReadinessChanged, "readiness_changed"},
    Row{Event::kPeerHeard, "peer_heard"},
    Row{Event::kRolloutShareChanged, "rollout_share_changed"},
};

}  // namespace

std::string_view Name(Event event) {
  for (const Row& row : kRows) {
    if (row.event == event) return row.name;
  }
  return "unknown_event";
}

}  // namespace bamboodock
