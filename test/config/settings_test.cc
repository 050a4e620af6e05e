#include "bamboodock/config/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <gflags/gflags.h>

DEFINE_string(settings_test_name, "none", "Name used by the settings test.");
DEFINE_int32(settings_test_count, 3, "Count used by the settings test.");
DEFINE_uint32(settings_test_limit, 3, "Limit used by the settings test.");
DEFINE_bool(settings_test_switch, false, "Switch used by the settings test.");

namespace {

bool IsShort(const char* /*name*/, const std::string& value) { return value.size() < 8; }
DEFINE_validator(settings_test_name, &IsShort);

}  // namespace

namespace bamboodock {

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(FlagTakesPrecedenceOverVariable);
  CPPUNIT_TEST(AcceptsAllFormsOfFlags);
  CPPUNIT_TEST(RejectsUnknownNames);
  CPPUNIT_TEST(RejectsInvalidValues);
  CPPUNIT_TEST(ErrorsOmitStringValues);
  CPPUNIT_TEST(HelpIgnoresInvalidSettings);
  CPPUNIT_TEST(HelpListsOnlyProgramFlags);
  CPPUNIT_TEST(ParseLeavesProgramNameAndArguments);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    FLAGS_settings_test_name = "none";
    FLAGS_settings_test_count = 3;
    FLAGS_settings_test_limit = 3;
    FLAGS_settings_test_switch = false;
  }

  // Guards against an environment variable that overrides a command-line flag.
  void FlagTakesPrecedenceOverVariable() {
    Accept({"--settings_test_count=5"},
           {"BAMBOODOCK_SETTINGS_TEST_COUNT=4", "BAMBOODOCK_SETTINGS_TEST_NAME=env", "OTHER=1"});
    CPPUNIT_ASSERT_EQUAL(5, FLAGS_settings_test_count);
    CPPUNIT_ASSERT_EQUAL(std::string("env"), FLAGS_settings_test_name);
  }

  // Guards against a flag value that is parsed as a positional argument, or the reverse.
  void AcceptsAllFormsOfFlags() {
    const AppliedSettings applied =
        Accept({"publish", "--settings-test-name", "typed", "--settings_test_switch", "file",
                "--settings_test_count=-2", "--", "--settings_test_count=9"},
               {});
    CPPUNIT_ASSERT((applied.positional == std::vector<std::size_t>{0, 4, 7}));
    CPPUNIT_ASSERT_EQUAL(std::string("typed"), FLAGS_settings_test_name);
    CPPUNIT_ASSERT_EQUAL(-2, FLAGS_settings_test_count);
    CPPUNIT_ASSERT(FLAGS_settings_test_switch);
    Accept({"--nosettings_test_switch"}, {"BAMBOODOCK_SETTINGS_TEST_SWITCH=true"});
    CPPUNIT_ASSERT(!FLAGS_settings_test_switch);
  }

  // Guards against a misspelt setting that is silently ignored.
  void RejectsUnknownNames() {
    CPPUNIT_ASSERT_EQUAL(std::string("unknown flag --settings_test_cuont (see --help)"),
                         Reject({"--settings_test_cuont=5"}, {}));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown environment variable BAMBOODOCK_SETTINGS_TEST_CUONT"),
                         Reject({}, {"BAMBOODOCK_SETTINGS_TEST_CUONT=5"}));
    // Flags that gflags itself defines read files and the environment by rules of their own.
    CPPUNIT_ASSERT(!Reject({"--flagfile=flags"}, {}).empty());
    CPPUNIT_ASSERT(!Reject({}, {"BAMBOODOCK_FLAGFILE=flags"}).empty());
    CPPUNIT_ASSERT(!Reject({"--nosettings_test_count"}, {}).empty());
  }

  // Guards against an invalid value that is truncated, wrapped around or ignored.
  void RejectsInvalidValues() {
    for (const char* value : {"", "x", "5x", "1.5", "99999999999"}) {
      const std::string message = Reject({std::string("--settings_test_count=") + value}, {});
      CPPUNIT_ASSERT(message.find("--settings_test_count") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(3, FLAGS_settings_test_count);
    }
    CPPUNIT_ASSERT(!Reject({"--settings_test_limit=-1"}, {}).empty());
    CPPUNIT_ASSERT(!Reject({"--settings_test_switch=maybe"}, {}).empty());
    CPPUNIT_ASSERT(!Reject({"--settings_test_count"}, {}).empty());
    const std::string message = Reject({}, {"BAMBOODOCK_SETTINGS_TEST_COUNT=many"});
    CPPUNIT_ASSERT(message.find("BAMBOODOCK_SETTINGS_TEST_COUNT") != std::string::npos);
  }

  // Guards against an error message that contains a secret.
  void ErrorsOmitStringValues() {
    const std::string message = Reject({"--settings_test_name=long-secret"}, {});
    CPPUNIT_ASSERT(!message.empty());
    CPPUNIT_ASSERT(message.find("long-secret") == std::string::npos);
  }

  // Guards against an invalid flag or environment variable that makes --help fail.
  void HelpIgnoresInvalidSettings() {
    const AppliedSettings help = Accept({"--wrong", "--help"}, {"BAMBOODOCK_WRONG=1"});
    CPPUNIT_ASSERT(help.action == SettingsAction::kHelp);
    CPPUNIT_ASSERT(Accept({"--version"}, {}).action == SettingsAction::kVersion);
  }

  // Guards against a help text that also lists the flags of gflags.
  void HelpListsOnlyProgramFlags() {
    const std::string text = HelpText("bamboodock-test", "[flags]");
    CPPUNIT_ASSERT(text.find("BAMBOODOCK_SETTINGS_TEST_COUNT") != std::string::npos);
    CPPUNIT_ASSERT(text.find("flagfile") == std::string::npos);
  }

  // Guards against flags that remain among the positional arguments, and against lost arguments.
  void ParseLeavesProgramNameAndArguments() {
    std::vector<std::string> words{"bin/program", "publish", "--settings_test_count=4", "file"};
    std::vector<char*> values;
    values.reserve(words.size() + 1);
    for (std::string& word : words) values.push_back(word.data());
    values.push_back(nullptr);
    int argc = static_cast<int>(words.size());
    char** argv = values.data();
    CPPUNIT_ASSERT(!ParseSettings(&argc, &argv, "[flags]").has_value());
    CPPUNIT_ASSERT_EQUAL(3, argc);
    CPPUNIT_ASSERT_EQUAL(std::string("publish"), std::string(argv[1]));
    CPPUNIT_ASSERT_EQUAL(std::string("file"), std::string(argv[2]));
    CPPUNIT_ASSERT(argv[3] == nullptr);
    CPPUNIT_ASSERT_EQUAL(4, FLAGS_settings_test_count);
  }

 private:
  static AppliedSettings Accept(const std::vector<std::string>& arguments,
                                const std::vector<std::string>& environment) {
    return HandleFailure([&] { return ApplySettings(arguments, environment); },
                         [](const Failure& failure) {
                           CPPUNIT_FAIL(failure.detail);
                           return AppliedSettings{};
                         });
  }

  static std::string Reject(const std::vector<std::string>& arguments,
                            const std::vector<std::string>& environment) {
    return HandleFailure(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(ApplySettings(arguments, environment));
          return std::string();
        },
        [](const Failure& failure) {
          CPPUNIT_ASSERT(failure.code == ResultCode::kBadSetting);
          return failure.detail;
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace bamboodock
