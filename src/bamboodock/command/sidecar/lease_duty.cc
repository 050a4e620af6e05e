#include "bamboodock/command/sidecar/lease_duty.h"

#include <utility>

#include "bamboodock/codec/engine_order.h"
#include "bamboodock/codec/row_codec.h"

namespace bamboodock {
namespace {

/// Three renewal intervals, so that one lost answer does not end the lease.
constexpr std::chrono::milliseconds kLeaseDuration{9000};
constexpr std::chrono::milliseconds kRenewInterval{3000};
constexpr std::chrono::milliseconds kClockMargin{500};
constexpr int kHttpConflict = 409;

}  // namespace

LeaseDuty::LeaseDuty(Parts parts)
    : parts_(std::move(parts)),
      engine_(parts_.upstream),
      rule_(parts_.incarnation, kLeaseDuration, kClockMargin) {}

MonotonicTime LeaseDuty::Tick() {
  const std::optional<DesiredVersions> desired = FindDesiredVersions();
  if (!desired) return std::chrono::steady_clock::now() + kRenewInterval;
  const bool held = HandleFailure([this]() -> Result<bool> { return Renew(); },
                                  [](const Failure& /*failure*/) { return false; });
  if (held != held_) {
    parts_.timeline.Record(held ? Event::kLeaseAcquired : Event::kLeaseLost, RequestId(),
                           parts_.endpoint.value());
  }
  held_ = held;
  if (held) SendLoadOrders(*desired);
  return std::chrono::steady_clock::now() + kRenewInterval;
}

std::optional<LeaseDuty::DesiredVersions> LeaseDuty::FindDesiredVersions() const {
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  if (config->set() == nullptr) return std::nullopt;
  const Endpoint* endpoint = config->set()->Find(parts_.endpoint);
  if (endpoint == nullptr || endpoint->kind != EndpointKind::kEngine) return std::nullopt;
  return DesiredVersions{config->epoch(), {endpoint->versions.begin(), endpoint->versions.end()}};
}

Result<bool> LeaseDuty::Renew() {
  const std::string key = LeaseKey(parts_.endpoint);
  BOOST_LEAF_AUTO(row, parts_.queries.Read(key));
  const auto now = std::chrono::steady_clock::now();
  LeaseRow next{parts_.incarnation, rule_.NextFencing()};
  RowVersion version;
  if (row) {
    BOOST_LEAF_AUTO(stored, DecodeLeaseRow(row->value));
    version = row->version;
    rule_.OnRow(stored, version != row_version_, now);
    row_version_ = version;
    const bool is_own_lease = stored.holder == parts_.incarnation;
    if (!is_own_lease && !rule_.MayTakeOver(now)) return false;
    next.fencing = is_own_lease ? stored.fencing : rule_.NextFencing();
  }
  TableTransaction transaction;
  transaction.conditions = {{key, version}};
  transaction.puts = {{key, EncodeRow(next, ++renewal_count_)}};
  BOOST_LEAF_AUTO(written, parts_.commands.Commit(transaction));
  row_version_ = written;
  rule_.OnAcquired(next.fencing, now);
  return true;
}

void LeaseDuty::SendLoadOrders(const DesiredVersions& desired) {
  for (const VersionId& version : desired.versions) {
    if (ordered_versions_.contains(version)) continue;
    if (SendLoadOrder(version, desired.epoch)) ordered_versions_.insert(version);
  }
  std::erase_if(ordered_versions_,
                [&](const VersionId& v) { return !desired.versions.contains(v); });
}

bool LeaseDuty::SendLoadOrder(const VersionId& version, Epoch decision_epoch) {
  const auto now = std::chrono::steady_clock::now();
  const LeaseVerdict verdict = rule_.Judge(now, decision_epoch, parts_.config.snapshot()->epoch());
  if (verdict != LeaseVerdict::kAllowed) {
    parts_.timeline.Record(Event::kOrderRefused, RequestId(),
                           "verdict=" + std::to_string(static_cast<int>(verdict)));
    return false;
  }
  HttpRequest request;
  request.method = "POST";
  request.path = "/orders";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = EncodeEngineOrder({*rule_.fencing(), "load", version});
  return HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(response, engine_.Call(request, config::kControlTimeout));
        const bool refused = response.status == kHttpConflict;
        parts_.timeline.Record(refused ? Event::kOrderRefused : Event::kOrderSent, RequestId(),
                               "load " + version.value());
        return response.status == 200;
      },
      [](const Failure& /*failure*/) { return false; });
}

}  // namespace bamboodock
