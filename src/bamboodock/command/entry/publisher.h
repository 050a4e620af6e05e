#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/codec/row_codec.h"
#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/objects/object_set_error.h"
#include "bamboodock/policy/publication_rule.h"
#include "bamboodock/stores/object_store.h"
#include "bamboodock/stores/table.h"
#include "bamboodock/transport/rpc_client.h"

namespace bamboodock {

/// Epoch that a process confirmed to have in force.
struct InForce {
  std::string process;
  Epoch epoch;
};

/// Outcome of a publication.
struct PublishOutcome {
  /// Epoch at which the publication was accepted.
  Epoch epoch;
  std::vector<InForce> in_force;
  /// Reasons for rejection; nothing was applied.
  std::vector<ObjectSetError> errors;
  /// The publication that won a race.
  PublicationId winner;
};

/// Makes the next set from the one in force (null before the first publication).
using SetEdit = std::function<Result<Ref<const ObjectSet>>(const ObjectSet* current)>;

/// Publishes object sets: checks, prepares at the witnesses, commits, announces.
class Publisher {
 public:
  struct Parts {
    HostId self;
    IncarnationId incarnation;
    std::vector<HostId> witnesses;
    std::vector<Address> peers;
    ConfigDuty& config;
    TableCommands& table_commands;
    TableQueries& table_queries;
    ObjectCommands& objects;
    ObjectQueries& object_queries;
    TimelineDuty& timeline;
  };

  explicit Publisher(Parts parts) : parts_(std::move(parts)) {}

  /// Publishes a whole set on top of whatever is in force.
  Result<PublishOutcome> Publish(const PublicationId& id, const Ref<const ObjectSet>& set);

  /// Publishes a change of the set in force; repeats it on the newest set when it loses a race.
  Result<PublishOutcome> Edit(const PublicationId& id, const SetEdit& edit);

 private:
  struct Attempt;

  Result<PublishOutcome> Run(const PublicationId& id, const SetEdit& edit);
  /// Carries out one step of the publication.
  void Do(Attempt& attempt);
  void ReadPublication(Attempt& attempt);
  void ReadHead(Attempt& attempt);
  void PutObject(Attempt& attempt);
  void Prepare(Attempt& attempt);
  void Commit(Attempt& attempt);
  void ReadBack(Attempt& attempt);

  Result<Ref<const ObjectSet>> SetInForce(const HeadRow& head);
  std::vector<InForce> Announce(const Attempt& attempt);

  Parts parts_;
};

}  // namespace bamboodock
