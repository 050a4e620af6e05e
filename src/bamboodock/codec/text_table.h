#pragma once

#include <string>
#include <vector>

namespace bamboodock {

/// Plain-text table with aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// Adds a row; missing cells are empty, control characters are replaced by '?'.
  void Add(std::vector<std::string> cells);
  bool empty() const { return rows_.size() == 1; }

  /// Header and rows, one line each.
  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace bamboodock
