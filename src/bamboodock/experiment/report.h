#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace bamboodock::experiment {

/// Table of an experiment's results.
class Table {
 public:
  /// @param name File name of the CSV form, without suffix.
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

/// Receives the text and the tables of an experiment.
class Report {
 public:
  /// @param csv_directory Directory for the CSV form of tables; empty writes none.
  Report(std::ostream& out, std::string csv_directory)
      : out_(out), csv_directory_(std::move(csv_directory)) {}

  void Heading(const std::string& title);
  void Text(const std::string& paragraph);
  void Add(const Table& table);
  /// States a goal with the measured figure and whether it is met.
  void Goal(const std::string& goal, const std::string& measured, bool met);

 private:
  std::ostream& out_;
  std::string csv_directory_;
};

/// Number with a fixed count of decimals.
std::string FormatFixed(double value, int decimals);
/// Share as a percentage.
std::string FormatPercent(double share, int decimals = 1);

}  // namespace bamboodock::experiment
