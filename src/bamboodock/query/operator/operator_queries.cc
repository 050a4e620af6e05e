#include "bamboodock/query/operator/operator_queries.h"

#include <utility>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/codec/object_set_diff_codec.h"
#include "bamboodock/codec/object_set_file.h"
#include "bamboodock/codec/operator_codec.h"
#include "bamboodock/objects/object_set_checker.h"
#include "bamboodock/objects/object_set_diff.h"

namespace bamboodock {
namespace {

/// Object set in `text`, with the errors of decoding or, if it was decoded, of its check.
DecodedObjectSet DecodeAndCheckSet(const std::string& text) {
  DecodedObjectSet decoded = DecodeObjectSet(text);
  if (decoded.set != nullptr) decoded.errors = CheckObjectSet(*decoded.set);
  return decoded;
}

}  // namespace

OperatorQueries::OperatorQueries(QuerySender& sender, QuerySettings settings, std::ostream& out,
                                 std::ostream& err)
    : sender_(sender), settings_(std::move(settings)), out_(out), err_(err) {}

const std::vector<OperatorQueries::Query>& OperatorQueries::Queries() {
  static const std::vector<Query> kQueries{{"check", "FILE", 1, &OperatorQueries::Check},
                                           {"diff", "FILE", 1, &OperatorQueries::Diff},
                                           {"status", "", 0, &OperatorQueries::Status},
                                           {"show", "KIND ID", 2, &OperatorQueries::Show},
                                           {"timeline", "", 0, &OperatorQueries::Timeline}};
  return kQueries;
}

ExitCode OperatorQueries::Run(const std::vector<std::string>& arguments) {
  return HandleFailure([&] { return Dispatch(arguments); },
                       [&](const Failure& failure) {
                         if (settings_.json) out_ << EncodeOperatorError(failure, {}) << "\n";
                         err_ << "bamboodock-query: " << failure.detail << "\n";
                         return QueryExitCode(failure.code);
                       });
}

Result<ExitCode> OperatorQueries::Dispatch(const std::vector<std::string>& arguments) {
  if (arguments.empty()) return Raise(ResultCode::kBadSetting, "no query given (see --help)");
  const Operands operands(arguments.begin() + 1, arguments.end());
  for (const Query& query : Queries()) {
    if (query.name != arguments[0]) continue;
    if (operands.size() == query.operand_count) return (this->*query.run)(operands);
    const std::string expected =
        query.operands.empty() ? "no arguments" : std::string(query.operands);
    return Raise(ResultCode::kBadSetting, "'" + arguments[0] + "' takes " + expected);
  }
  return Raise(ResultCode::kBadSetting, "unknown query '" + arguments[0] + "' (see --help)");
}

Result<ExitCode> OperatorQueries::Check(const Operands& operands) {
  BOOST_LEAF_AUTO(text, ReadObjectSetFile(operands[0]));
  const DecodedObjectSet decoded = DecodeAndCheckSet(text);
  if (!decoded.errors.empty()) return PrintSetErrors(decoded.errors);
  out_ << (settings_.json ? EncodeObjectSetErrors({}) : operands[0] + ": no errors") << "\n";
  return ExitCode::kOk;
}

Result<ExitCode> OperatorQueries::Diff(const Operands& operands) {
  BOOST_LEAF_AUTO(text, ReadObjectSetFile(operands[0]));
  const DecodedObjectSet decoded = DecodeAndCheckSet(text);
  if (!decoded.errors.empty()) return PrintSetErrors(decoded.errors);
  BOOST_LEAF_AUTO(set_in_force, FetchSetInForce());
  const std::vector<ObjectChange> changes = DiffObjectSets(*set_in_force, *decoded.set);
  if (settings_.json) {
    out_ << EncodeChanges(changes, *set_in_force, *decoded.set) << "\n";
  } else {
    out_ << DescribeChanges(changes, *set_in_force, *decoded.set);
  }
  return ExitCode::kOk;
}

Result<ExitCode> OperatorQueries::Status(const Operands& /*operands*/) {
  BOOST_LEAF_AUTO(body, sender_.Get("/queries/status"));
  return Print(body, &DescribeStatus);
}

Result<ExitCode> OperatorQueries::Show(const Operands& operands) {
  BOOST_LEAF_AUTO(set, FetchSetInForce());
  const std::string object = EncodeObject(*set, operands[0], operands[1]);
  if (object.empty()) {
    return Raise(ResultCode::kNotFound,
                 "the object set in force has no " + operands[0] + " '" + operands[1] + "'");
  }
  return Print(object, &DescribeObject);
}

Result<ExitCode> OperatorQueries::Timeline(const Operands& /*operands*/) {
  const std::string& request = settings_.request.value();
  const std::string query = request.empty() ? "" : "request=" + EncodeQueryValue(request);
  BOOST_LEAF_AUTO(body, sender_.Get("/queries/timeline", query));
  return Print(body, &DescribeTimeline);
}

Result<Ref<const ObjectSet>> OperatorQueries::FetchSetInForce() {
  BOOST_LEAF_AUTO(body, sender_.Get("/queries/set"));
  const DecodedObjectSet decoded = DecodeObjectSet(body);
  if (decoded.set != nullptr) return decoded.set;
  const ObjectSetError& error = decoded.errors.front();
  return Raise(ResultCode::kBadMessage, "cannot decode the object set in force: " + error.object +
                                            " " + error.field + " " + error.message);
}

Result<ExitCode> OperatorQueries::Print(const std::string& body,
                                        Result<std::string> (*describe)(std::string_view)) {
  if (settings_.json) {
    out_ << body << "\n";
    return ExitCode::kOk;
  }
  BOOST_LEAF_AUTO(text, describe(body));
  out_ << text;
  return ExitCode::kOk;
}

ExitCode OperatorQueries::PrintSetErrors(const std::vector<ObjectSetError>& errors) {
  if (settings_.json) {
    out_ << EncodeObjectSetErrors(errors) << "\n";
  } else {
    err_ << DescribeObjectSetErrors(errors);
  }
  return ExitCode::kRefused;
}

}  // namespace bamboodock
