#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/command/operator/command_sender.h"
#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/objects/version.h"

namespace bamboodock {

/// Settings of one run of `bamboodock-ctl`.
struct CommandSettings {
  PublicationId publication;
  VersionStage withdraw_stage = VersionStage::kWithdrawn;
  bool json = false;
};

/// Parses the value of `--stage`; fails with `kBadSetting` unless it is one of the stages that
/// withdraw a version (`no_new_sessions` or `withdrawn`).
Result<VersionStage> ParseWithdrawStage(std::string_view name);

/// Commands of `bamboodock-ctl`.
class OperatorCommands {
 public:
  /// The references must outlive the object.
  OperatorCommands(CommandSender& sender, CommandSettings settings, std::ostream& out,
                   std::ostream& err);

  /// Runs the command named by the first argument; prints to `out` and `err`.
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  struct Command {
    std::string_view name;
    std::string_view operand;
    Result<HttpRequest> (OperatorCommands::*prepare)(const std::string& operand) const;
  };
  static const std::vector<Command>& Commands();

  Result<HttpRequest> PreparePublish(const std::string& file) const;
  Result<HttpRequest> PrepareDrain(const std::string& zone) const;
  Result<HttpRequest> PrepareRestore(const std::string& zone) const;
  Result<HttpRequest> PrepareWithdraw(const std::string& version) const;

  Result<HttpRequest> Prepare(const std::vector<std::string>& arguments) const;
  void Report(const CommandOutcome& outcome);
  void ReportAnswer(const CommandOutcome& outcome);
  void ReportFailure(const Failure& failure);

  CommandSender& sender_;
  CommandSettings settings_;
  std::ostream& out_;
  std::ostream& err_;
};

}  // namespace bamboodock
