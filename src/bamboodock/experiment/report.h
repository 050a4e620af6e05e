#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace bamboodock::experiment {

/// Table of an experiment's results.
class Table {
 public:
  /// @param name File name of the CSV form, without extension.
  Table(std::string name, std::vector<std::string> columns)
      : name_(std::move(name)), columns_(std::move(columns)) {}

  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  const std::string& name() const { return name_; }
  void WriteMarkdown(std::ostream& out) const;
  void WriteCsv(std::ostream& out) const;

 private:
  std::string name_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

/// Writes the text and the tables of an experiment as Markdown.
class Report {
 public:
  /// @param csv_directory Directory for the CSV form of tables; empty writes none.
  Report(std::ostream& out, std::string csv_directory)
      : out_(out), csv_directory_(std::move(csv_directory)) {}

  void Heading(const std::string& title);
  void Text(const std::string& paragraph);
  /// Writes the table as Markdown and, with a CSV directory, also as a CSV file.
  void Add(const Table& table);
  /// Writes a goal, the measured figure and whether the goal is met.
  void Goal(const std::string& goal, const std::string& measured, bool met);

 private:
  std::ostream& out_;
  std::string csv_directory_;
};

/// Formats a number with a fixed number of decimals.
std::string FormatFixed(double value, int decimals);
/// Formats a share (1 is all) as a percentage.
std::string FormatPercent(double share, int decimals = 1);

}  // namespace bamboodock::experiment
