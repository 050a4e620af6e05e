#include "bamboodock/command/router/held_rows.h"

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

constexpr std::uint32_t kMaxExtensions = 2;

}  // namespace

void HeldRows::Hold(StoreRow row, Duration time, MonotonicTime now) {
  const auto [entry, added] = held_.try_emplace(row.key);
  HeldRow& held = entry->second;
  const bool is_written_again =
      !added && held.row.deleted == row.deleted && held.row.revision.era == row.revision.era;
  if (!is_written_again) held = {{}, time, now + time, 0};
  held.row = std::move(row);
}

void HeldRows::OnAnswer(MonotonicTime now) {
  if (!std::exchange(in_outage_, false)) return;
  for (auto& [key, held] : held_) {
    if (held.extensions >= kMaxExtensions) continue;
    ++held.extensions;
    held.until = now + held.time;
  }
}

std::vector<StoreRow> HeldRows::TakeDue(MonotonicTime now) {
  std::vector<StoreRow> due;
  if (in_outage_) return due;
  std::erase_if(held_, [&](const auto& entry) {
    const HeldRow& held = entry.second;
    if (held.until > now) return false;
    due.push_back(held.row);
    return true;
  });
  return due;
}

std::optional<MonotonicTime> HeldRows::NextDue() const {
  std::optional<MonotonicTime> next;
  if (in_outage_) return next;
  for (const auto& [key, held] : held_) next = std::min(next.value_or(held.until), held.until);
  return next;
}

bool HeldRows::HoldsRow(const std::string& key) const {
  const auto found = held_.find(key);
  return found != held_.end() && !found->second.row.deleted;
}

std::optional<StoreEra> HeldRows::MissingSince(const std::string& key) const {
  const auto found = held_.find(key);
  if (found == held_.end() || !found->second.row.deleted) return std::nullopt;
  return found->second.row.revision.era;
}

}  // namespace bamboodock
