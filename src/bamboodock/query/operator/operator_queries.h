#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/objects/object_set.h"
#include "bamboodock/objects/object_set_error.h"
#include "bamboodock/query/operator/query_sender.h"

namespace bamboodock {

/// Settings of one run of `bamboodock-query`.
struct QuerySettings {
  /// Request whose events `timeline` shows; empty for the events of all requests.
  RequestId request;
  bool json = false;
};

/// Queries of `bamboodock-query`.
class OperatorQueries {
 public:
  /// The references must outlive the object.
  OperatorQueries(QuerySender& sender, QuerySettings settings, std::ostream& out,
                  std::ostream& err);

  /// Runs the query named by the first argument; prints to `out` and `err`.
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  using Operands = std::vector<std::string>;
  struct Query {
    std::string_view name;
    std::string_view operands;
    std::size_t operand_count;
    Result<ExitCode> (OperatorQueries::*run)(const Operands& operands);
  };
  static const std::vector<Query>& Queries();

  Result<ExitCode> Check(const Operands& operands);
  Result<ExitCode> Diff(const Operands& operands);
  Result<ExitCode> Status(const Operands& operands);
  Result<ExitCode> Show(const Operands& operands);
  Result<ExitCode> Timeline(const Operands& operands);

  Result<ExitCode> Dispatch(const std::vector<std::string>& arguments);
  Result<Ref<const ObjectSet>> FetchSetInForce();
  /// Prints `body` itself if JSON output is set, else the text that `describe` renders from it.
  Result<ExitCode> Print(const std::string& body,
                         Result<std::string> (*describe)(std::string_view));
  ExitCode PrintSetErrors(const std::vector<ObjectSetError>& errors);

  QuerySender& sender_;
  QuerySettings settings_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace bamboodock
