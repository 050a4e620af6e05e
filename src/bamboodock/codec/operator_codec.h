#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/objects/object_set_error.h"
#include "bamboodock/objects/version.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Bodies of the operator commands.
///
/// `set_text` must be JSON. It is embedded unchanged, so that the router receives exactly what the
/// operator wrote.
std::string EncodePublish(const PublicationId& publication, std::string_view set_text);
std::string EncodeZoneCommand(const PublicationId& publication, const AvailabilityZoneId& zone);
std::string EncodeWithdraw(const PublicationId& publication, const ModelId& model,
                           const VersionId& version, VersionStage stage);

/// Whether `text` is one JSON value.
bool IsJson(std::string_view text);

/// Whether `body` is a JSON object with the epoch of an accepted publication.
bool IsReceipt(std::string_view body);

/// Refusal by the operator API.
struct OperatorError {
  std::string message;
  /// Name of a result code, for example "publish_conflict".
  std::string type;
  RunState run = RunState::kUnknown;
  /// Publication that was accepted instead; empty unless the error is a conflict.
  PublicationId winner;
  /// Errors of a rejected set.
  std::vector<ObjectSetError> set_errors;
};

/// Decodes a refusal. A body without the run state counts as "not run" for a 4xx status, which
/// reports a fault of the request, and as unknown otherwise.
OperatorError DecodeOperatorError(const HttpResponse& response);

/// JSON of an error that the command-line program itself detected, in the format of the operator
/// API.
std::string EncodeOperatorError(const Failure& failure, const PublicationId& publication);
/// JSON of the errors of a set, in the format of the operator API.
std::string EncodeObjectSetErrors(const std::vector<ObjectSetError>& errors);

/// Human-readable texts made from responses of the operator API; fail with `kBadMessage`.
Result<std::string> DescribeReceipt(std::string_view body);
Result<std::string> DescribeStatus(std::string_view body);
Result<std::string> DescribeTimeline(std::string_view body);
/// Table of the fields of one object, given as JSON.
Result<std::string> DescribeObject(std::string_view body);
std::string DescribeObjectSetErrors(const std::vector<ObjectSetError>& errors);

}  // namespace bamboodock
