#include "bamboodock/standin/answer.h"

#include <array>
#include <limits>

namespace bamboodock::standin {
namespace {

constexpr std::array<std::string_view, 16> kWords{
    "bolti ", "árbol ",  "señal ", "بلطي ",   "poda ", "étiquette ", "Ölbaum ", "الإسكندرية ",
    "🐟 ",     "guadua ", "竹 ",    "origin ", "lote ", "🌳 ",         "вид ",    "catch "};
constexpr std::string_view kWrongMarker = "[wrong] ";
constexpr double kGoodLogprob = -0.05;
constexpr double kBadLogprob = -1.2;
constexpr double kLogprobSpread = 0.1;

/// Returns the next value of the SplitMix64 generator with the given state.
std::uint64_t NextRandom(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15U;
  std::uint64_t z = state;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

/// Returns a value in [0, 1].
double NextUniform(std::uint64_t& state) {
  return static_cast<double>(NextRandom(state)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}  // namespace

Answer MakeAnswer(const AnswerParameters& parameters, Seed seed) {
  std::uint64_t state = seed.value() ^ std::hash<std::string_view>{}(parameters.prompt) ^
                        (std::hash<VersionId>{}(parameters.version) << 1U);
  Answer answer;
  answer.good = NextUniform(state) < parameters.quality.value();
  if (NextUniform(state) < parameters.wrong_ratio.value()) answer.good = false;
  answer.tokens.reserve(parameters.length.value());
  for (std::uint64_t i = 0; i < parameters.length.value(); ++i) {
    const std::string_view word = kWords.at(NextRandom(state) % kWords.size());
    const double base = answer.good ? kGoodLogprob : kBadLogprob;
    answer.tokens.push_back({std::string(word), base - (kLogprobSpread * NextUniform(state))});
  }
  if (!answer.good && !answer.tokens.empty()) answer.tokens.front().text = kWrongMarker;
  return answer;
}

}  // namespace bamboodock::standin
