#include "bamboodock/command/router/version_selector.h"

#include <algorithm>

#include "bamboodock/command/router/routing_hash.h"

namespace bamboodock {
namespace {

/// A version without a rollout order is used only after this delay, since its order may arrive
/// later than its registrations.
constexpr std::chrono::milliseconds kVersionWithoutOrderDelay{4000};

using VersionCounts = std::map<VersionId, std::size_t>;

std::vector<VersionId> VersionsOf(const VersionCounts& counts) {
  std::vector<VersionId> versions;
  versions.reserve(counts.size());
  for (const auto& [version, count] : counts) versions.push_back(version);
  return versions;
}

/// Versions that were not rejected; all of them when there is no other.
VersionCounts WithoutRejected(const VersionCounts& counts, const VersionVerdicts& verdicts) {
  VersionCounts kept = counts;
  std::erase_if(kept, [&](const auto& item) { return verdicts.IsRejected(item.first); });
  return kept.empty() ? counts : kept;
}

}  // namespace

VersionSelector::Selection VersionSelector::SelectWithoutOrder(const ServiceId& service,
                                                               const Inputs& inputs) {
  const VersionCounts versions =
      WithoutRejected(inputs.pool.VersionCounts(service), inputs.rollouts.Verdicts(service));
  auto known = baseline_.find(service);
  if (known == baseline_.end() || !versions.contains(known->second)) {
    if (versions.empty()) return {};
    const auto most_common = std::max_element(versions.begin(), versions.end(),
                                              [](auto& a, auto& b) { return a.second < b.second; });
    known = baseline_.insert_or_assign(service, most_common->first).first;
  }
  if (versions.size() <= 1) {
    without_order_since_.erase(service);
    return {VersionsOf(versions), {}};
  }
  const MonotonicTime first_seen =
      without_order_since_.try_emplace(service, inputs.now).first->second;
  if (inputs.now - first_seen > kVersionWithoutOrderDelay) return {VersionsOf(versions), {}};
  return {{known->second}, {}};
}

VersionSelector::Selection VersionSelector::SelectInRollout(const ServiceId& service,
                                                            const RequestMetadata& request,
                                                            const RolloutOrder& order,
                                                            const Inputs& inputs) {
  RolloutController& rollouts = inputs.rollouts;
  RolloutVersionQuery query;
  query.phase = rollouts.Phase(service);
  query.target = order.target;
  query.present = inputs.pool.Versions(service);
  const bool has_session = !request.session.empty();
  const std::string& routing_key = has_session ? request.session.value() : request.attempt.value();
  query.in_target_share =
      rollouts.PrefersTarget(service, SampleFromHash(routing_key), inputs.entries).value_or(false);
  if (has_session) {
    query.pinned = sessions_.Find(service, request.session, inputs.now);
    query.held_back = rollouts.IsHeldBack(service, HashSession(request.session), inputs.now);
  }
  RolloutVersionChoice choice = ChooseRolloutVersions(query, rollouts.Verdicts(service));
  return {std::move(choice.preferred), std::move(choice.fallback),
          choice.on_trial ? rollouts.trial_share() : Ratio(1)};
}

VersionSelector::Selection VersionSelector::Select(const ServiceId& service,
                                                   const RequestMetadata& request, Inputs inputs) {
  const RolloutOrder* order = inputs.rollouts.Find(service);
  if (order == nullptr) return SelectWithoutOrder(service, inputs);
  return SelectInRollout(service, request, *order, inputs);
}

void VersionSelector::OnFirstAttempt(const ServiceId& service, const SessionId& session,
                                     const VersionId& version, MonotonicTime deadline) {
  if (!session.empty()) sessions_.Begin(service, session, version, deadline);
}

void VersionSelector::OnNextAttempt(const ServiceId& service, const SessionId& session,
                                    const VersionId& version) {
  sessions_.Change(service, session, version);
}

void VersionSelector::OnRequestEnd(const ServiceId& service, const SessionId& session,
                                   MonotonicTime now) {
  sessions_.End(service, session, now);
}

const VersionId* VersionSelector::Baseline(const ServiceId& service) const {
  const auto found = baseline_.find(service);
  return found == baseline_.end() ? nullptr : &found->second;
}

std::vector<SessionHash> VersionSelector::TakeHeldBack(const RolloutOrder& order, Ratio trial_share,
                                                       std::size_t max_count, MonotonicTime now) {
  std::vector<SessionHash> held_back;
  sessions_.ForEach(order.service, now, [&](const SessionId& session, const VersionId& version) {
    const bool in_trial_share = SampleFromHash(session.value()) < trial_share.value();
    if (in_trial_share && version != order.target) held_back.push_back(HashSession(session));
  });
  if (held_back.size() <= max_count) return held_back;
  std::size_t& told = held_back_told_[order.service];
  const auto first = static_cast<std::ptrdiff_t>(told % held_back.size());
  std::rotate(held_back.begin(), held_back.begin() + first, held_back.end());
  held_back.resize(max_count);
  told += max_count;
  return held_back;
}

}  // namespace bamboodock
