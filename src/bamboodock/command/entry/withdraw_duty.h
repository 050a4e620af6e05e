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

/// Publishes the withdrawal of versions that the evidence speaks against.
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
  /// Withdrawals that could not be published yet, for example because the store is down.
  std::vector<WithdrawVersionCommand> waiting_;
};

/// Changes the stage of one version; fails with `kNotFound` when the set has no such version.
SetEdit StageEdit(const ModelId& model, const VersionId& version, VersionStage stage);

}  // namespace bamboodock
