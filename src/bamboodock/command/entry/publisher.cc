#include "bamboodock/command/entry/publisher.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "bamboodock/codec/control_message.h"
#include "bamboodock/codec/digest.h"
#include "bamboodock/codec/object_set_codec.h"
#include "bamboodock/command/config/config_peer.h"
#include "bamboodock/objects/object_set_checker.h"

namespace bamboodock {
namespace {

/// Maximum number of runs of an edit, each on the newest set, before a conflict is reported.
constexpr int kMaxEditRuns = 4;
/// Maximum number of commits in one run; a commit is repeated when its answer was lost.
constexpr int kMaxCommits = 3;

}  // namespace

struct Publisher::PublicationRun {
  PublicationRun(const PublicationId& id, const std::vector<HostId>& witnesses,
                 const ObjectSetEdit& set_edit)
      : rule(id, witnesses), edit(set_edit) {}

  PublicationRule rule;
  const ObjectSetEdit& edit;
  PublishedSet set;
  ObjectHash object;
  RowVersion head_version;
  std::vector<ObjectSetError> errors;
  /// Reason why the edit cannot be applied to the set in force.
  std::optional<Failure> edit_failure;
  int commits = 0;
};

Result<PublishOutcome> Publisher::Publish(const PublicationId& id,
                                          const Ref<const ObjectSet>& set) {
  return Run(id, [&](const ObjectSet* /*current*/) -> Result<Ref<const ObjectSet>> { return set; });
}

Result<PublishOutcome> Publisher::Edit(const PublicationId& id, const ObjectSetEdit& edit) {
  for (int round = 1; round < kMaxEditRuns; ++round) {
    BOOST_LEAF_AUTO(outcome, Run(id, edit));
    if (outcome.winner.empty()) return outcome;
  }
  return Run(id, edit);
}

Result<PublishOutcome> Publisher::Run(const PublicationId& id, const ObjectSetEdit& edit) {
  PublicationRun run(id, parts_.witnesses, edit);
  while (run.errors.empty() && !run.edit_failure) {
    switch (run.rule.step()) {
      case PublicationStep::kAccepted: {
        PublishOutcome outcome;
        outcome.epoch = run.rule.accepted();
        parts_.timeline.Record(
            Event::kPublishAccepted, RequestId(),
            "epoch=" + std::to_string(outcome.epoch.value()) + " publication=" + id.value());
        outcome.in_force = Announce(run);
        return outcome;
      }
      case PublicationStep::kConflict: {
        PublishOutcome outcome;
        outcome.winner = run.rule.winner();
        parts_.timeline.Record(Event::kPublishRefused, RequestId(),
                               id.value() + " refused; accepted first: " + outcome.winner.value());
        return outcome;
      }
      case PublicationStep::kFailed:
        parts_.timeline.Record(Event::kPublishRefused, RequestId(),
                               id.value() + " " + std::string(Name(run.rule.failure())));
        return Raise(run.rule.failure(), "the publication was not committed by this run");
      case PublicationStep::kUnknown:
        return Raise(
            run.rule.failure(),
            "the store did not report the outcome of the commit; repeat the same publication",
            RunState::kUnknown);
      default:
        ExecuteStep(run);
    }
  }
  if (run.edit_failure) return Raise(*run.edit_failure);
  PublishOutcome outcome;
  outcome.errors = std::move(run.errors);
  return outcome;
}

void Publisher::ExecuteStep(PublicationRun& run) {
  struct StepMethod {
    PublicationStep step;
    void (Publisher::*method)(PublicationRun&);
  };
  static constexpr std::array kStepMethods{
      StepMethod{PublicationStep::kReadPublication, &Publisher::ReadPublication},
      StepMethod{PublicationStep::kReadHead, &Publisher::ReadHead},
      StepMethod{PublicationStep::kPutObject, &Publisher::PutObject},
      StepMethod{PublicationStep::kPrepare, &Publisher::Prepare},
      StepMethod{PublicationStep::kConfirmPrepare, &Publisher::Prepare},
      StepMethod{PublicationStep::kCommit, &Publisher::Commit},
      StepMethod{PublicationStep::kReadBack, &Publisher::ReadBack},
  };
  for (const StepMethod& step_method : kStepMethods) {
    if (step_method.step == run.rule.step()) return (this->*step_method.method)(run);
  }
}

void Publisher::ReadPublication(PublicationRun& run) {
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(row, parts_.table_queries.Read(PublicationKey(run.rule.id())));
        std::optional<AcceptedPublication> accepted;
        if (row) {
          BOOST_LEAF_AUTO(head, DecodeHeadRow(row->value));
          accepted = AcceptedPublication{head.publication, head.epoch};
        }
        run.rule.OnPublication(accepted);
        return true;
      },
      [&](const Failure& /*failure*/) {
        run.rule.OnStoreUnavailable();
        return false;
      });
}

void Publisher::ReadHead(PublicationRun& run) {
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(row, parts_.table_queries.Read(kHeadKey));
        HeadRow head;
        if (row) {
          BOOST_LEAF_ASSIGN(head, DecodeHeadRow(row->value));
          run.head_version = row->version;
        }
        BOOST_LEAF_AUTO(current, SetInForce(head));
        const bool edited = HandleFailure(
            [&]() -> Result<bool> {
              BOOST_LEAF_ASSIGN(run.set.set, run.edit(current.get()));
              return true;
            },
            [&](const Failure& failure) {
              run.edit_failure = failure;
              return false;
            });
        if (!edited) return false;
        run.errors = CheckObjectSet(*run.set.set);
        run.rule.OnHead({head.publication, head.epoch}, std::nullopt);
        return true;
      },
      [&](const Failure& /*failure*/) {
        run.rule.OnStoreUnavailable();
        return false;
      });
}

Result<Ref<const ObjectSet>> Publisher::SetInForce(const HeadRow& head) {
  if (head.epoch == Epoch(0)) return Ref<const ObjectSet>();
  const Ref<const ConfigSnapshot> snapshot = parts_.config.snapshot();
  if (snapshot->epoch() == head.epoch) return snapshot->current().set;
  BOOST_LEAF_AUTO(text, parts_.object_queries.Load(head.object));
  BOOST_LEAF_AUTO(set, DecodePublishedSet(head.publication, head.epoch, text));
  return set.set;
}

void Publisher::PutObject(PublicationRun& run) {
  const std::string text = EncodeObjectSet(*run.set.set);
  run.object = ObjectHash(Sha256Hex(text));
  run.set.text = std::make_shared<const std::string>(text);
  run.set.publication = run.rule.id();
  run.set.epoch = run.rule.next();
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(parts_.objects.Put(run.object, text));
        run.rule.OnObjectPut();
        return true;
      },
      [&](const Failure& /*failure*/) {
        run.rule.OnStoreUnavailable();
        return false;
      });
}

void Publisher::Prepare(PublicationRun& run) {
  const auto deadline = std::chrono::steady_clock::now() + config::kControlTimeout;
  auto reply = std::make_shared<BoundedRing<bool>>(1);
  if (parts_.config.PostUntil(PrepareCommand{run.set, reply}, deadline)) {
    const bool acknowledged = reply->PopUntil(deadline).value_or(false);
    run.rule.OnPrepareAnswer(parts_.self, parts_.incarnation, acknowledged);
  }
  const PrepareRequest request{{run.set.publication, run.set.epoch, *run.set.text}};
  for (const Address& peer : parts_.peers) {
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(
              json, RpcClient(peer).Call("prepare", ToJson(request), config::kControlTimeout));
          BOOST_LEAF_AUTO(answer, FromJson<PrepareResponse>(json));
          run.rule.OnPrepareAnswer(answer.host, answer.incarnation, answer.acknowledged);
          return true;
        },
        [](const Failure& /*failure*/) { return false; });
  }
  run.rule.OnPrepareEnd();
}

void Publisher::Commit(PublicationRun& run) {
  if (++run.commits > kMaxCommits) return run.rule.OnStoreUnavailable();
  const HeadRow head{run.set.epoch, run.set.publication, run.object};
  const std::string publication_key = PublicationKey(run.set.publication);
  TableTransaction transaction;
  transaction.conditions = {{kHeadKey, run.head_version}, {publication_key, RowVersion(0)}};
  transaction.puts = {{kHeadKey, EncodeRow(head)}, {publication_key, EncodeRow(head)}};
  const CommitOutcome outcome = HandleFailure(
      [&]() -> Result<CommitOutcome> {
        BOOST_LEAF_CHECK(parts_.table_commands.Commit(transaction));
        return CommitOutcome::kCommitted;
      },
      [](const Failure& failure) {
        if (failure.code == ResultCode::kStoreConflict) return CommitOutcome::kConflict;
        if (failure.code == ResultCode::kStoreUnavailable) return CommitOutcome::kNotSent;
        return CommitOutcome::kAnswerLost;
      });
  run.rule.OnCommit(outcome);
}

void Publisher::ReadBack(PublicationRun& run) {
  HandleFailure(
      [&]() -> Result<bool> {
        // The head must be read before the row: see PublicationRule::OnReadBack.
        BOOST_LEAF_AUTO(head_row, parts_.table_queries.Read(kHeadKey));
        BOOST_LEAF_AUTO(row, parts_.table_queries.Read(PublicationKey(run.rule.id())));
        std::optional<AcceptedPublication> accepted;
        HeadRow head;
        if (row) {
          BOOST_LEAF_AUTO(own, DecodeHeadRow(row->value));
          accepted = AcceptedPublication{own.publication, own.epoch};
        }
        if (head_row) {
          BOOST_LEAF_ASSIGN(head, DecodeHeadRow(head_row->value));
        }
        run.rule.OnReadBack(accepted, {head.publication, head.epoch});
        return true;
      },
      [&](const Failure& /*failure*/) {
        run.rule.OnStoreUnavailable();
        return false;
      });
}

std::vector<ProcessEpoch> Publisher::Announce(const PublicationRun& run) {
  std::vector<ProcessEpoch> in_force;
  // `run.set` is empty when the publication was already accepted in an earlier run; each process
  // then has the set or reads it from the store.
  if (run.set.text) {
    const auto deadline = std::chrono::steady_clock::now() + config::kControlTimeout;
    parts_.config.PostUntil(InstallCommand{run.set, false}, deadline);
    const Epoch epoch = run.set.epoch;
    parts_.config.WaitUntil(deadline, [&](const ConfigSnapshot& s) { return s.epoch() >= epoch; });
  }
  in_force.push_back({parts_.self.value(), parts_.config.snapshot()->epoch()});
  if (!run.set.text) return in_force;
  const AnnounceRequest request{run.set.epoch, run.set.publication, *run.set.text};
  for (const Address& peer : parts_.peers) {
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(
              json, RpcClient(peer).Call("announce", ToJson(request), config::kControlTimeout));
          in_force.push_back({json.value("process", peer.ToString()),
                              Epoch(json.value("epoch", std::uint64_t{0}))});
          return true;
        },
        [](const Failure& /*failure*/) { return false; });
  }
  return in_force;
}

}  // namespace bamboodock
