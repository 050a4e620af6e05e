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

/// Times that an edit is repeated on a newer set before the conflict is reported.
constexpr int kMostEdits = 4;
/// Commits sent for one publication while their answers are lost.
constexpr int kMostCommits = 3;

}  // namespace

struct Publisher::Attempt {
  Attempt(const PublicationId& id, const std::vector<HostId>& witnesses, const SetEdit& set_edit)
      : rule(id, witnesses), edit(set_edit) {}

  PublicationRule rule;
  const SetEdit& edit;
  PublishedSet set;
  ObjectHash object;
  RowVersion head_version;
  std::vector<ObjectSetError> errors;
  /// Why the edit is not possible on the set in force.
  std::optional<Failure> edit_failure;
  int commits = 0;
};

Result<PublishOutcome> Publisher::Publish(const PublicationId& id,
                                          const Ref<const ObjectSet>& set) {
  return Run(id, [&](const ObjectSet* /*current*/) -> Result<Ref<const ObjectSet>> { return set; });
}

Result<PublishOutcome> Publisher::Edit(const PublicationId& id, const SetEdit& edit) {
  for (int round = 1; round < kMostEdits; ++round) {
    BOOST_LEAF_AUTO(outcome, Run(id, edit));
    if (outcome.winner.empty()) return outcome;
  }
  return Run(id, edit);
}

Result<PublishOutcome> Publisher::Run(const PublicationId& id, const SetEdit& edit) {
  Attempt attempt(id, parts_.witnesses, edit);
  while (attempt.errors.empty() && !attempt.edit_failure) {
    switch (attempt.rule.step()) {
      case PublicationStep::kAccepted: {
        PublishOutcome outcome;
        outcome.epoch = attempt.rule.accepted();
        parts_.timeline.Record(
            Event::kPublishAccepted, RequestId(),
            "epoch=" + std::to_string(outcome.epoch.value()) + " publication=" + id.value());
        outcome.in_force = Announce(attempt);
        return outcome;
      }
      case PublicationStep::kConflict: {
        PublishOutcome outcome;
        outcome.winner = attempt.rule.winner();
        parts_.timeline.Record(Event::kPublishRefused, RequestId(),
                               id.value() + " lost to " + outcome.winner.value());
        return outcome;
      }
      case PublicationStep::kFailed:
        parts_.timeline.Record(Event::kPublishRefused, RequestId(),
                               id.value() + " " + std::string(Name(attempt.rule.failure())));
        return Raise(attempt.rule.failure(), "the publication was not accepted");
      case PublicationStep::kUnknown:
        return Raise(attempt.rule.failure(),
                     "the store does not tell the outcome; repeat the same publication",
                     RunState::kUnknown);
      default:
        Do(attempt);
    }
  }
  if (attempt.edit_failure) return Raise(*attempt.edit_failure);
  PublishOutcome outcome;
  outcome.errors = std::move(attempt.errors);
  return outcome;
}

void Publisher::Do(Attempt& attempt) {
  struct Row {
    PublicationStep step;
    void (Publisher::*method)(Attempt&);
  };
  static constexpr std::array kRows{
      Row{PublicationStep::kReadPublication, &Publisher::ReadPublication},
      Row{PublicationStep::kReadHead, &Publisher::ReadHead},
      Row{PublicationStep::kPutObject, &Publisher::PutObject},
      Row{PublicationStep::kPrepare, &Publisher::Prepare},
      Row{PublicationStep::kConfirmPrepare, &Publisher::Prepare},
      Row{PublicationStep::kCommit, &Publisher::Commit},
      Row{PublicationStep::kReadBack, &Publisher::ReadBack},
  };
  for (const Row& row : kRows) {
    if (row.step == attempt.rule.step()) return (this->*row.method)(attempt);
  }
}

void Publisher::ReadPublication(Attempt& attempt) {
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(row, parts_.table_queries.Read(PublicationKey(attempt.rule.id())));
        std::optional<AcceptedPublication> accepted;
        if (row) {
          BOOST_LEAF_AUTO(head, DecodeHeadRow(row->value));
          accepted = AcceptedPublication{head.publication, head.epoch};
        }
        attempt.rule.OnPublication(accepted);
        return true;
      },
      [&](const Failure& /*failure*/) {
        attempt.rule.OnStoreUnavailable();
        return false;
      });
}

void Publisher::ReadHead(Attempt& attempt) {
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(row, parts_.table_queries.Read(kHeadKey));
        HeadRow head;
        if (row) {
          BOOST_LEAF_ASSIGN(head, DecodeHeadRow(row->value));
          attempt.head_version = row->version;
        }
        BOOST_LEAF_AUTO(current, SetInForce(head));
        const bool edited = HandleFailure(
            [&]() -> Result<bool> {
              BOOST_LEAF_ASSIGN(attempt.set.set, attempt.edit(current.get()));
              return true;
            },
            [&](const Failure& failure) {
              attempt.edit_failure = failure;
              return false;
            });
        if (!edited) return false;
        attempt.errors = CheckObjectSet(*attempt.set.set);
        attempt.rule.OnHead({head.publication, head.epoch}, std::nullopt);
        return true;
      },
      [&](const Failure& /*failure*/) {
        attempt.rule.OnStoreUnavailable();
        return false;
      });
}

Result<Ref<const ObjectSet>> Publisher::SetInForce(const HeadRow& head) {
  if (head.epoch == Epoch(0)) return Ref<const ObjectSet>();
  const Ref<const ConfigSnapshot> snapshot = parts_.config.snapshot();
  if (snapshot->epoch() == head.epoch) return snapshot->current().set;
  BOOST_LEAF_AUTO(text, parts_.object_queries.Load(head.object));
  BOOST_LEAF_AUTO(set, ToPublishedSet(head.publication, head.epoch, text));
  return set.set;
}

void Publisher::PutObject(Attempt& attempt) {
  const std::string text = EncodeObjectSet(*attempt.set.set);
  attempt.object = ObjectHash(Sha256Hex(text));
  attempt.set.text = std::make_shared<const std::string>(text);
  attempt.set.publication = attempt.rule.id();
  attempt.set.epoch = attempt.rule.next();
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(parts_.objects.Put(attempt.object, text));
        attempt.rule.OnObjectPut();
        return true;
      },
      [&](const Failure& /*failure*/) {
        attempt.rule.OnStoreUnavailable();
        return false;
      });
}

void Publisher::Prepare(Attempt& attempt) {
  const auto deadline = std::chrono::steady_clock::now() + config::kControlTimeout;
  auto reply = std::make_shared<BoundedRing<bool>>(1);
  if (parts_.config.PostUntil(PrepareCommand{attempt.set, reply}, deadline)) {
    const bool acknowledged = reply->PopUntil(deadline).value_or(false);
    attempt.rule.OnPrepareAnswer(parts_.self, parts_.incarnation, acknowledged);
  }
  const PrepareRequest request{{attempt.set.publication, attempt.set.epoch, *attempt.set.text}};
  for (const Address& peer : parts_.peers) {
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(
              json, RpcClient(peer).Call("prepare", ToJson(request), config::kControlTimeout));
          BOOST_LEAF_AUTO(answer, FromJson<PrepareResponse>(json));
          attempt.rule.OnPrepareAnswer(answer.host, answer.incarnation, answer.acknowledged);
          return true;
        },
        [](const Failure& /*failure*/) { return false; });
  }
  attempt.rule.OnPrepareEnd();
}

void Publisher::Commit(Attempt& attempt) {
  if (++attempt.commits > kMostCommits) return attempt.rule.OnStoreUnavailable();
  const HeadRow head{attempt.set.epoch, attempt.set.publication, attempt.object};
  const std::string publication_key = PublicationKey(attempt.set.publication);
  TableTransaction transaction;
  transaction.conditions = {{kHeadKey, attempt.head_version}, {publication_key, RowVersion(0)}};
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
  attempt.rule.OnCommit(outcome);
}

void Publisher::ReadBack(Attempt& attempt) {
  HandleFailure(
      [&]() -> Result<bool> {
        // The rule requires this order: see PublicationRule::OnReadBack.
        BOOST_LEAF_AUTO(head_row, parts_.table_queries.Read(kHeadKey));
        BOOST_LEAF_AUTO(row, parts_.table_queries.Read(PublicationKey(attempt.rule.id())));
        std::optional<AcceptedPublication> accepted;
        HeadRow head;
        if (row) {
          BOOST_LEAF_AUTO(own, DecodeHeadRow(row->value));
          accepted = AcceptedPublication{own.publication, own.epoch};
        }
        if (head_row) {
          BOOST_LEAF_ASSIGN(head, DecodeHeadRow(head_row->value));
        }
        attempt.rule.OnReadBack(accepted, {head.publication, head.epoch});
        return true;
      },
      [&](const Failure& /*failure*/) {
        attempt.rule.OnStoreUnavailable();
        return false;
      });
}

std::vector<InForce> Publisher::Announce(const Attempt& attempt) {
  std::vector<InForce> in_force;
  // A repeated publication has no set here; every process has or reads it by itself.
  if (attempt.set.text) {
    const auto deadline = std::chrono::steady_clock::now() + config::kControlTimeout;
    parts_.config.PostUntil(InstallCommand{attempt.set, false}, deadline);
    const Epoch epoch = attempt.set.epoch;
    parts_.config.WaitUntil(deadline, [&](const ConfigSnapshot& s) { return s.epoch() >= epoch; });
  }
  in_force.push_back({parts_.self.value(), parts_.config.snapshot()->epoch()});
  if (!attempt.set.text) return in_force;
  const AnnounceRequest request{attempt.set.epoch, attempt.set.publication, *attempt.set.text};
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
