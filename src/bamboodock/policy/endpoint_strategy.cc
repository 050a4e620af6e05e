#include "bamboodock/policy/endpoint_strategy.h"

#include "bamboodock/policy/affinity_two_choices_chooser.h"
#include "bamboodock/policy/least_load_chooser.h"
#include "bamboodock/policy/random_chooser.h"
#include "bamboodock/policy/rendezvous_chooser.h"
#include "bamboodock/policy/round_robin_chooser.h"
#include "bamboodock/policy/two_choices_chooser.h"

namespace bamboodock {
namespace {

template <class Chooser>
std::unique_ptr<EndpointChooser> Make() {
  return std::make_unique<Chooser>();
}

struct StrategyRow {
  std::string_view name;
  std::unique_ptr<EndpointChooser> (*make)();
};

/// Rows in the order of `EndpointStrategy`.
constexpr std::array<StrategyRow, kEndpointStrategies.size()> kRows = {{
    {"random", &Make<RandomChooser>},
    {"round_robin", &Make<RoundRobinChooser>},
    {"least_reported_load", &Make<LeastLoadChooser>},
    {"two_choices", &Make<TwoChoicesChooser>},
    {"rendezvous", &Make<RendezvousChooser>},
    {"affinity_two_choices", &Make<AffinityTwoChoicesChooser>},
}};

const StrategyRow& Row(EndpointStrategy strategy) {
  return kRows.at(static_cast<std::size_t>(strategy));
}

}  // namespace

std::string_view Name(EndpointStrategy strategy) { return Row(strategy).name; }

std::unique_ptr<EndpointChooser> MakeEndpointChooser(EndpointStrategy strategy) {
  return Row(strategy).make();
}

}  // namespace bamboodock
