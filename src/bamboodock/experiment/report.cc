#include "bamboodock/experiment/report.h"

#include <fstream>
#include <iomanip>
#include <sstream>

namespace bamboodock::experiment {
namespace {

void WriteRow(std::ostream& out, const std::vector<std::string>& cells, const char* begin,
              const char* between, const char* end) {
  out << begin;
  for (std::size_t i = 0; i < cells.size(); ++i) out << (i == 0 ? "" : between) << cells[i];
  out << end << '\n';
}

}  // namespace

void Table::WriteMarkdown(std::ostream& out) const {
  WriteRow(out, columns_, "| ", " | ", " |");
  WriteRow(out, std::vector<std::string>(columns_.size(), "---"), "|", "|", "|");
  for (const auto& row : rows_) WriteRow(out, row, "| ", " | ", " |");
  out << '\n';
}

void Table::WriteCsv(std::ostream& out) const {
  WriteRow(out, columns_, "", ",", "");
  for (const auto& row : rows_) WriteRow(out, row, "", ",", "");
}

void Report::Heading(const std::string& title) { out_ << "## " << title << "\n\n"; }

void Report::Text(const std::string& paragraph) { out_ << paragraph << "\n\n"; }

void Report::Add(const Table& table) {
  table.WriteMarkdown(out_);
  if (csv_directory_.empty()) return;
  std::ofstream csv(csv_directory_ + "/" + table.name() + ".csv");
  table.WriteCsv(csv);
}

void Report::Goal(const std::string& goal, const std::string& measured, bool met) {
  out_ << "**Goal" << (met ? " met" : " missed") << "**: " << goal << " Measured: " << measured
       << "\n\n";
}

std::string FormatFixed(double value, int decimals) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(decimals) << value;
  return text.str();
}

std::string FormatPercent(double share, int decimals) {
  constexpr double kPercent = 100;
  return FormatFixed(share * kPercent, decimals) + "%";
}

}  // namespace bamboodock::experiment
