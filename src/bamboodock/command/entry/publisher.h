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

/// Epoch that a process reports as its epoch in force.
struct ProcessEpoch {
  std::string process;
  Epoch epoch;
};

/// Outcome of a publication.
struct PublishOutcome {
  /// Epoch at which the publication was accepted.
  Epoch epoch;
  std::vector<ProcessEpoch> in_force;
  /// Reasons why the set is invalid; when not empty, nothing was published.
  std::vector<ObjectSetError> errors;
  /// Publication that was accepted first; not empty when this one met a conflict.
  PublicationId winner;
};

/// Derives the next set from the one in force (null before the first publication).
using ObjectSetEdit = std::function<Result<Ref<const ObjectSet>>(const ObjectSet* current)>;

/// Publishes object sets on the calling thread: checks the set, prepares it at the witnesses,
/// commits it to the store and announces it to the other entries.
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

  /// Publishes a whole set, replacing the set in force.
  Result<PublishOutcome> Publish(const PublicationId& id, const Ref<const ObjectSet>& set);

  /// Publishes an edit of the set in force; reapplies it to the newest set after a conflict with
  /// another publication, up to 4 runs in total.
  Result<PublishOutcome> Edit(const PublicationId& id, const ObjectSetEdit& edit);

 private:
  struct PublicationRun;

  Result<PublishOutcome> Run(const PublicationId& id, const ObjectSetEdit& edit);
  /// Executes the current step of the publication.
  void ExecuteStep(PublicationRun& run);
  void ReadPublication(PublicationRun& run);
  void ReadHead(PublicationRun& run);
  void PutObject(PublicationRun& run);
  void Prepare(PublicationRun& run);
  void Commit(PublicationRun& run);
  void ReadBack(PublicationRun& run);

  Result<Ref<const ObjectSet>> SetInForce(const HeadRow& head);
  std::vector<ProcessEpoch> Announce(const PublicationRun& run);

  Parts parts_;
};

}  // namespace bamboodock
