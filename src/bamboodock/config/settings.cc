#include "bamboodock/config/settings.h"

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <iostream>
#include <utility>

namespace bamboodock {
namespace {

using gflags::CommandLineFlagInfo;

constexpr std::string_view kVariablePrefix = "BAMBOODOCK_";

std::string_view BaseName(std::string_view path) {
  const std::size_t slash = path.rfind('/');
  return slash == std::string_view::npos ? path : path.substr(slash + 1);
}

/// Whether gflags itself defines the flag, for example `--flagfile`; such flags are not settings.
bool IsBuiltIn(const CommandLineFlagInfo& flag) {
  constexpr std::array<std::string_view, 3> kGflagsSources{"gflags.cc", "gflags_reporting.cc",
                                                           "gflags_completions.cc"};
  return std::find(kGflagsSources.begin(), kGflagsSources.end(), BaseName(flag.filename)) !=
         kGflagsSources.end();
}

std::vector<CommandLineFlagInfo> ProgramFlags() {
  std::vector<CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::erase_if(flags, IsBuiltIn);
  std::sort(flags.begin(), flags.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return flags;
}

std::string VariableName(std::string_view flag) {
  std::string name(kVariablePrefix);
  for (const char c : flag) {
    name.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
  }
  return name;
}

/// Applies settings in their order of precedence, lowest first.
class SettingsApplier {
 public:
  SettingsApplier() : flags_(ProgramFlags()) {}

  Result<void> ApplyEnvironment(const std::vector<std::string>& environment) {
    for (const std::string& entry : environment) {
      if (!entry.starts_with(kVariablePrefix)) continue;
      const std::size_t equals = entry.find('=');
      if (equals == std::string::npos) continue;
      const std::string name = entry.substr(0, equals);
      const auto flag = std::find_if(flags_.begin(), flags_.end(), [&](const auto& candidate) {
        return VariableName(candidate.name) == name;
      });
      if (flag == flags_.end()) {
        return Raise(ResultCode::kBadSetting, "unknown environment variable " + name);
      }
      BOOST_LEAF_CHECK(Set(*flag, name, entry.substr(equals + 1)));
    }
    return {};
  }

  Result<AppliedSettings> ApplyArguments(const std::vector<std::string>& arguments) {
    AppliedSettings applied;
    bool flags_ended = false;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
      const std::string& argument = arguments[i];
      if (flags_ended || argument.size() < 2 || argument[0] != '-') {
        applied.positional.push_back(i);
      } else if (argument == "--") {
        flags_ended = true;
      } else {
        BOOST_LEAF_ASSIGN(const bool used_next_argument, ApplyFlag(arguments, i));
        if (used_next_argument) ++i;
      }
    }
    return applied;
  }

 private:
  /// Returns whether the value of the flag was taken from the next argument.
  Result<bool> ApplyFlag(const std::vector<std::string>& arguments, std::size_t index) {
    const std::string& argument = arguments[index];
    const std::size_t start = argument.starts_with("--") ? 2 : 1;
    const std::size_t equals = argument.find('=');
    const bool has_value = equals != std::string::npos;
    std::string name = argument.substr(start, has_value ? equals - start : std::string::npos);
    std::replace(name.begin(), name.end(), '-', '_');
    const std::string label = "--" + name;

    if (const CommandLineFlagInfo* flag = Find(name)) {
      if (has_value) return WithoutNextArgument(Set(*flag, label, argument.substr(equals + 1)));
      if (flag->type == "bool") return WithoutNextArgument(Set(*flag, label, "true"));
      if (index + 1 >= arguments.size()) {
        return Raise(ResultCode::kBadSetting, "missing value for " + label);
      }
      BOOST_LEAF_CHECK(Set(*flag, label, arguments[index + 1]));
      return true;
    }
    const CommandLineFlagInfo* negated = name.starts_with("no") ? Find(name.substr(2)) : nullptr;
    if (negated != nullptr && negated->type == "bool" && !has_value) {
      return WithoutNextArgument(Set(*negated, label, "false"));
    }
    return Raise(ResultCode::kBadSetting, "unknown flag " + label + " (see --help)");
  }

  static Result<bool> WithoutNextArgument(Result<void> result) {
    if (!result) return result.error();
    return false;
  }

  const CommandLineFlagInfo* Find(std::string_view name) const {
    for (const CommandLineFlagInfo& flag : flags_) {
      if (flag.name == name) return &flag;
    }
    return nullptr;
  }

  static Result<void> Set(const CommandLineFlagInfo& flag, const std::string& label,
                          const std::string& value) {
    if (!gflags::SetCommandLineOption(flag.name.c_str(), value.c_str()).empty()) return {};
    // A string may be a secret, so the message does not contain its value.
    const std::string shown = flag.type == "string" ? "value" : "value '" + value + "'";
    return Raise(ResultCode::kBadSetting, "invalid " + shown + " for " + label + ": " +
                                              flag.description + " (" + flag.type + ")");
  }

  std::vector<CommandLineFlagInfo> flags_;
};

std::vector<std::string> ProcessEnvironment() {
  std::vector<std::string> entries;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    entries.emplace_back(*entry);
  }
  return entries;
}

std::string& ProgramName() {
  static std::string name = "bamboodock";
  return name;
}

}  // namespace

Result<AppliedSettings> ApplySettings(const std::vector<std::string>& arguments,
                                      const std::vector<std::string>& environment) {
  SettingsApplier applier;
  // --help and --version work even when other settings are invalid.
  for (const std::string& argument : arguments) {
    if (argument == "--") break;
    if (argument == "--help") return AppliedSettings{SettingsAction::kHelp, {}};
    if (argument == "--version") return AppliedSettings{SettingsAction::kVersion, {}};
  }
  BOOST_LEAF_CHECK(applier.ApplyEnvironment(environment));
  return applier.ApplyArguments(arguments);
}

std::string HelpText(std::string_view program, std::string_view usage) {
  std::string text = "Usage: " + std::string(program) + " " + std::string(usage) + "\n\nFlags:\n";
  for (const CommandLineFlagInfo& flag : ProgramFlags()) {
    text += "  --" + flag.name + " (" + flag.type;
    if (!flag.default_value.empty()) text += ", default " + flag.default_value;
    text += ", " + VariableName(flag.name) + ")\n      " + flag.description + "\n";
  }
  text += "  --help\n      Print this text.\n  --version\n      Print the version.\n";
  text += "\nA flag takes precedence over its environment variable.\n";
  return text;
}

std::optional<int> ParseSettings(int* argc, char*** argv, const std::string& usage) {
  char** values = *argv;
  if (*argc > 0) ProgramName() = std::string(BaseName(values[0]));
  const std::vector<std::string> arguments(values + std::min(*argc, 1), values + *argc);
  std::optional<int> exit_code;
  const AppliedSettings applied =
      HandleFailure([&] { return ApplySettings(arguments, ProcessEnvironment()); },
                    [&](const Failure& failure) {
                      exit_code = ReportInvalidSetting(failure.detail);
                      return AppliedSettings{};
                    });
  if (exit_code) return exit_code;
  if (applied.action == SettingsAction::kHelp) {
    std::cout << HelpText(ProgramName(), usage);
    return 0;
  }
  if (applied.action == SettingsAction::kVersion) {
    std::cout << ProgramName() << " " << ReleaseVersion() << "\n";
    return 0;
  }
  int kept = 1;
  for (const std::size_t position : applied.positional) values[kept++] = values[position + 1];
  *argc = std::min(*argc, kept);
  values[*argc] = nullptr;
  return std::nullopt;
}

int ReportInvalidSetting(std::string_view message) {
  std::string line(message);
  std::replace(line.begin(), line.end(), '\n', ' ');
  std::cerr << ProgramName() << ": " << line << "\n";
  return kExitInvalidSetting;
}

std::string_view ReleaseVersion() { return BAMBOODOCK_VERSION; }

}  // namespace bamboodock
