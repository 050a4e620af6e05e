#pragma once

#include "bamboodock/command/entry/publisher.h"
#include "bamboodock/command/entry/route_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/core/id_generator.h"

namespace bamboodock {

struct WithdrawVersionCommand {
  ModelId model;
  VersionId version;
};

/// Publishes the withdrawal of versions that the roll-out evidence rejects, and retries until it is
/// published.
class WithdrawDuty : public Duty<WithdrawDuty, WithdrawVersionCommand>, public VersionStopListener {
 public:
  explicit WithdrawDuty(IdGenerator& ids) : ids_(ids) {}
  ~WithdrawDuty() override { Stop(); }

  /// Must be called before `Start()`.
  void SetPublisher(Publisher& publisher) { publisher_ = &publisher; }

  void OnVersionStopped(const ModelId& model, const VersionId& version) override {
    Post(WithdrawVersionCommand{model, version});
  }

  void Handle(WithdrawVersionCommand& command);
  MonotonicTime Tick();

 private:
  bool Publish(const WithdrawVersionCommand& command);

  IdGenerator& ids_;
  Publisher* publisher_ = nullptr;
  /// Withdrawals that are not published yet, for example because the store is unavailable.
  std::vector<WithdrawVersionCommand> unpublished_;
};

/// Returns an edit that sets the stage of one version; it fails with `kNotFound` when the set has
/// no such version.
ObjectSetEdit MakeStageEdit(const ModelId& model, const VersionId& version, VersionStage stage);

}  // namespace bamboodock
