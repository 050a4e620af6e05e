#include "bamboodock/command/entry/withdraw_duty.h"

#include <algorithm>

#include "bamboodock/objects/version_withdrawal.h"

namespace bamboodock {
namespace {

constexpr std::chrono::seconds kRetryInterval{5};

}  // namespace

ObjectSetEdit MakeStageEdit(const ModelId& model, const VersionId& version, VersionStage stage) {
  return [=](const ObjectSet* current) -> Result<Ref<const ObjectSet>> {
    if (current == nullptr || current->Find(model, version) == nullptr) {
      return Raise(ResultCode::kNotFound, "version " + model.value() + "@" + version.value() +
                                              " is not in the object set in force");
    }
    return WithVersionStage(*current, model, version, stage);
  };
}

void WithdrawDuty::Handle(WithdrawVersionCommand& command) {
  if (!Publish(command)) unpublished_.push_back(command);
}

MonotonicTime WithdrawDuty::Tick() {
  std::erase_if(unpublished_, [this](const WithdrawVersionCommand& c) { return Publish(c); });
  return std::chrono::steady_clock::now() + kRetryInterval;
}

bool WithdrawDuty::Publish(const WithdrawVersionCommand& command) {
  return HandleFailure(
      [&]() -> Result<bool> {
        const PublicationId id(ids_.Next("withdraw-"));
        const ObjectSetEdit edit =
            MakeStageEdit(command.model, command.version, VersionStage::kWithdrawn);
        BOOST_LEAF_AUTO(outcome, publisher_->Edit(id, edit));
        return outcome.winner.empty();
      },
      [](const Failure& failure) {
        // A version that is no longer in the set needs no withdrawal.
        return failure.code == ResultCode::kNotFound;
      });
}

}  // namespace bamboodock
