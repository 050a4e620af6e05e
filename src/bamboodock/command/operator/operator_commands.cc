#include "bamboodock/command/operator/operator_commands.h"

#include <utility>

#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/codec/object_set_file.h"
#include "bamboodock/codec/operator_codec.h"
#include "bamboodock/objects/object_set_checker.h"

namespace bamboodock {
namespace {

HttpRequest MakeCommand(std::string path, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::move(path);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(body);
  return request;
}

Result<void> CheckId(const std::string& id, std::string_view what) {
  if (IsValidId(id)) return {};
  return Raise(ResultCode::kBadSetting, "'" + id + "' is not a valid id of " + std::string(what));
}

}  // namespace

Result<VersionStage> ParseWithdrawStage(std::string_view name) {
  for (const VersionStage stage : {VersionStage::kNoNewSessions, VersionStage::kWithdrawn}) {
    if (name == Name(stage)) return stage;
  }
  return Raise(ResultCode::kBadSetting, "--stage must be no_new_sessions or withdrawn");
}

OperatorCommands::OperatorCommands(CommandSender& sender, CommandSettings settings,
                                   std::ostream& out, std::ostream& err)
    : sender_(sender), settings_(std::move(settings)), out_(out), err_(err) {}

const std::vector<OperatorCommands::Command>& OperatorCommands::Commands() {
  static const std::vector<Command> kCommands{
      {"publish", "FILE", &OperatorCommands::PreparePublish},
      {"drain", "AVAILABILITY_ZONE", &OperatorCommands::PrepareDrain},
      {"restore", "AVAILABILITY_ZONE", &OperatorCommands::PrepareRestore},
      {"withdraw", "MODEL@VERSION", &OperatorCommands::PrepareWithdraw}};
  return kCommands;
}

ExitCode OperatorCommands::Run(const std::vector<std::string>& arguments) {
  bool is_ready = true;
  const HttpRequest request = HandleFailure([&] { return Prepare(arguments); },
                                            [&](const Failure& failure) {
                                              is_ready = false;
                                              ReportFailure(failure);
                                              return HttpRequest();
                                            });
  if (!is_ready) return ExitCode::kUsageError;
  // Printed before the command is sent, so that an interrupted run can be repeated with the same
  // id.
  err_ << "publication: " << settings_.publication << "\n" << std::flush;
  const CommandOutcome outcome = sender_.Send(request);
  Report(outcome);
  return outcome.exit_code;
}

Result<HttpRequest> OperatorCommands::Prepare(const std::vector<std::string>& arguments) const {
  BOOST_LEAF_CHECK(CheckId(settings_.publication.value(), "a publication"));
  if (arguments.empty()) return Raise(ResultCode::kBadSetting, "no command given (see --help)");
  for (const Command& command : Commands()) {
    if (command.name != arguments[0]) continue;
    if (arguments.size() != 2) {
      return Raise(ResultCode::kBadSetting,
                   "'" + arguments[0] + "' takes one argument: " + std::string(command.operand));
    }
    return (this->*command.prepare)(arguments[1]);
  }
  return Raise(ResultCode::kBadSetting, "unknown command '" + arguments[0] + "' (see --help)");
}

Result<HttpRequest> OperatorCommands::PreparePublish(const std::string& file) const {
  BOOST_LEAF_AUTO(text, ReadObjectSetFile(file));
  // The text is embedded in the request body, so it must be valid JSON; the router checks its
  // content.
  if (!IsJson(text)) {
    const DecodedObjectSet decoded = DecodeObjectSet(text);
    const std::string reason =
        decoded.errors.empty() ? "not valid JSON" : decoded.errors[0].message;
    return Raise(ResultCode::kBadSetting, file + ": " + reason);
  }
  return MakeCommand("/commands/publish", EncodePublish(settings_.publication, text));
}

Result<HttpRequest> OperatorCommands::PrepareDrain(const std::string& zone) const {
  BOOST_LEAF_CHECK(CheckId(zone, "an availability zone"));
  return MakeCommand("/commands/drain",
                     EncodeZoneCommand(settings_.publication, AvailabilityZoneId(zone)));
}

Result<HttpRequest> OperatorCommands::PrepareRestore(const std::string& zone) const {
  BOOST_LEAF_CHECK(CheckId(zone, "an availability zone"));
  return MakeCommand("/commands/restore",
                     EncodeZoneCommand(settings_.publication, AvailabilityZoneId(zone)));
}

Result<HttpRequest> OperatorCommands::PrepareWithdraw(const std::string& version) const {
  const std::size_t at = version.find('@');
  if (at == std::string::npos) {
    return Raise(ResultCode::kBadSetting, "'" + version + "' is not MODEL@VERSION");
  }
  const std::string model_id = version.substr(0, at);
  const std::string version_id = version.substr(at + 1);
  BOOST_LEAF_CHECK(CheckId(model_id, "a model"));
  BOOST_LEAF_CHECK(CheckId(version_id, "a version"));
  return MakeCommand("/commands/withdraw",
                     EncodeWithdraw(settings_.publication, ModelId(model_id), VersionId(version_id),
                                    settings_.withdraw_stage));
}

void OperatorCommands::Report(const CommandOutcome& outcome) {
  const bool is_outcome_unknown = outcome.exit_code == ExitCode::kOutcomeUnknown;
  if (is_outcome_unknown && !outcome.lost_answers.empty()) {
    ReportFailure(
        {ResultCode::kOutcomeUnknown, outcome.lost_answers.back().detail, RunState::kUnknown, {}});
  } else if (!outcome.response) {
    ReportFailure(outcome.failure);
  } else if (settings_.json) {
    out_ << outcome.response->body << "\n";
  } else {
    ReportAnswer(outcome);
  }
  if (is_outcome_unknown) {
    err_ << "bamboodock-ctl: the outcome is not known; repeat the command with --publication="
         << settings_.publication << "\n";
  }
}

void OperatorCommands::ReportAnswer(const CommandOutcome& outcome) {
  if (!outcome.refusal) {
    out_ << HandleFailure(
        [&] { return DescribeReceipt(outcome.response->body); },
        [](const Failure& failure) { return "accepted, but " + failure.detail + "\n"; });
    return;
  }
  const OperatorError& refusal = *outcome.refusal;
  err_ << "bamboodock-ctl: " << refusal.message;
  if (!refusal.type.empty()) err_ << " (" << refusal.type << ")";
  if (!refusal.winner.empty()) err_ << "; accepted instead: publication " << refusal.winner;
  err_ << "\n";
  if (!refusal.set_errors.empty()) err_ << DescribeObjectSetErrors(refusal.set_errors);
}

void OperatorCommands::ReportFailure(const Failure& failure) {
  if (settings_.json) out_ << EncodeOperatorError(failure, settings_.publication) << "\n";
  err_ << "bamboodock-ctl: " << failure.detail << "\n";
}

}  // namespace bamboodock
