#include "bamboodock/codec/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace bamboodock {
namespace {

/// Length of the first event in `text` with the empty line that ends it; 0 when it has no end.
std::size_t EventLength(std::string_view text) {
  std::size_t line = 0;
  while (line < text.size()) {
    const std::size_t end = text.find('\n', line);
    if (end == std::string_view::npos) return 0;
    const bool empty = end == line || (end == line + 1 && text[line] == '\r');
    if (empty) return end + 1;
    line = end + 1;
  }
  return 0;
}

std::optional<std::uint64_t> EventId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  std::size_t line = 0;
  while (line < event.size()) {
    const std::size_t end = std::min(event.find('\n', line), event.size());
    std::string_view text = event.substr(line, end - line);
    line = end + 1;
    if (!text.starts_with(kField)) continue;
    text.remove_prefix(kField.size());
    while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
    std::uint64_t id = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), id).ec == std::errc{}) return id;
  }
  return std::nullopt;
}

}  // namespace

std::string EventSplitter::Take() {
  std::string taken;
  std::size_t used = 0;
  const std::string_view all = pending_;
  while (const std::size_t length = EventLength(all.substr(used))) {
    const std::string_view event = all.substr(used, length);
    used += length;
    const std::optional<std::uint64_t> id = EventId(event);
    if (id && last_id_ && *id <= *last_id_) continue;
    if (id) last_id_ = id;
    ++taken_;
    taken.append(event);
  }
  pending_.erase(0, used);
  return taken;
}

}  // namespace bamboodock
