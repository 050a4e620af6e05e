#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/replay/trace.h"

namespace bamboodock {

/// Instance of one rule at one process, driven by the events of a trace.
class RuleReplay {
 public:
  virtual ~RuleReplay() = default;
  /// Applies an event and returns the name of its outcome. Fails with `kBadMessage` when the event
  /// is unknown, or a required field is missing or not a number.
  virtual Result<std::string> Apply(const std::string& event, const TraceLine& line) = 0;
};

/// Dispatches events to a rule through a table of member pointers.
///
/// `Derived` provides `static const std::vector<Entry>& Events()`.
template <class Derived>
class TableReplay : public RuleReplay {
 public:
  struct Entry {
    std::string_view name;
    std::string (Derived::*handle)(const TraceLine&);
    /// Fields that must be present; one with a leading '#' must be a number.
    std::vector<std::string_view> required;
  };

  Result<std::string> Apply(const std::string& event, const TraceLine& line) override {
    for (const Entry& entry : Derived::Events()) {
      if (entry.name != event) continue;
      for (std::string_view field : entry.required) {
        const bool number = field.starts_with('#');
        const std::string_view name = number ? field.substr(1) : field;
        if (number ? line.fields.HasNumber(name) : line.fields.Has(name)) continue;
        return Raise(
            ResultCode::kBadMessage,
            "field \"" + std::string(name) + (number ? "\" is not a number" : "\" is missing"));
      }
      return (static_cast<Derived&>(*this).*entry.handle)(line);
    }
    return Raise(ResultCode::kBadMessage, "unknown event \"" + event + "\"");
  }
};

/// Name of an enumerator. The table must hold every value that can occur; others give "unnamed".
template <class Enum>
std::string EnumName(const std::vector<std::pair<Enum, std::string_view>>& table, Enum value) {
  for (const auto& [known, name] : table) {
    if (known == value) return std::string(name);
  }
  return "unnamed";
}

/// Enumerator of a name; the first one in the table when the name is unknown.
template <class Enum>
Enum EnumFromName(const std::vector<std::pair<Enum, std::string_view>>& table,
                  std::string_view name) {
  for (const auto& [value, known] : table) {
    if (known == name) return value;
  }
  return table.front().first;
}

template <class Id>
std::vector<Id> ToIds(const std::vector<std::string>& names) {
  std::vector<Id> ids;
  ids.reserve(names.size());
  for (const std::string& name : names) ids.emplace_back(name);
  return ids;
}

std::unique_ptr<RuleReplay> MakeAttemptReplay(const TraceFields& settings,
                                              const std::string& process);
std::unique_ptr<RuleReplay> MakeBillingReplay(const TraceFields& settings,
                                              const std::string& process);
std::unique_ptr<RuleReplay> MakeClaimReplay(const TraceFields& settings,
                                            const std::string& process);
std::unique_ptr<RuleReplay> MakeFreshnessReplay(const TraceFields& settings,
                                                const std::string& process);
std::unique_ptr<RuleReplay> MakeLeaseReplay(const TraceFields& settings,
                                            const std::string& process);
std::unique_ptr<RuleReplay> MakePublicationReplay(const TraceFields& settings,
                                                  const std::string& process);
std::unique_ptr<RuleReplay> MakeQuarantineReplay(const TraceFields& settings,
                                                 const std::string& process);
std::unique_ptr<RuleReplay> MakeRateLimitReplay(const TraceFields& settings,
                                                const std::string& process);
std::unique_ptr<RuleReplay> MakeReturnedRowReplay(const TraceFields& settings,
                                                  const std::string& process);
std::unique_ptr<RuleReplay> MakeStreamReplay(const TraceFields& settings,
                                             const std::string& process);
std::unique_ptr<RuleReplay> MakeWitnessReplay(const TraceFields& settings,
                                              const std::string& process);

}  // namespace bamboodock
