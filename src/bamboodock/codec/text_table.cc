#include "bamboodock/codec/text_table.h"

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

constexpr std::size_t kColumnGap = 2;

/// Replaces control characters: text from callers may contain escape sequences that the operator's
/// terminal would execute.
std::string Printable(std::string text) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  for (char& c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < kFirstPrintable || byte == kDelete) c = '?';
  }
  return text;
}

}  // namespace

TextTable::TextTable(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

void TextTable::Add(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  std::transform(cells.begin(), cells.end(), cells.begin(), Printable);
  rows_.push_back(std::move(cells));
}

std::string TextTable::Text() const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] + kColumnGap - row[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace bamboodock
