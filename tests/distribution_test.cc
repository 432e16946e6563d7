#include "cornelweir/distribution.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <deque>
#include <string>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"

namespace cornelweir::distribution {
namespace {

using kernel::membership_revision;
using kernel::service_name;
using kernel::table_version;

// Services s0..s<n-1>; each calls the next one.
table::row_map Chain(int services, std::int64_t request_ms = 2000) {
  table::row_map rows;
  const kernel::limit_name limit("standard");
  rows[table::KeyOf(limit)] = table::limit_row{};
  for (int index = 0; index < services; ++index) {
    const service_name name("s" + std::to_string(index));
    const kernel::wait_name wait("w" + std::to_string(index));
    rows[table::KeyOf(wait)] = table::wait_row{request_ms, 200};
    table::service_row service{limit, wait, {}};
    if (index + 1 < services) service.calls.emplace_back("s" + std::to_string(index + 1));
    rows[table::KeyOf(name)] = service;
    rows[table::SplitKey(name, kernel::subset_name("v1"))] = table::split_row{kernel::weight(1)};
    rows[table::row_key{table::row_kind::kRoute, name.value()}] =
        table::route_row{"/" + name.value(), name, true};
  }
  return rows;
}

membership::upstream_record Member(const std::string& id, const std::string& service) {
  membership::upstream_record record;
  record.id = kernel::upstream_id(id);
  record.service = service_name(service);
  record.subset = kernel::subset_name("v1");
  record.host = kernel::host_id("host-" + id);
  record.daemon_data = kernel::endpoint("127.0.0.1:1");
  record.daemon_control = kernel::endpoint("control-" + id);
  record.incarnation = kernel::incarnation(1);
  record.state = membership::upstream_state::kReady;
  return record;
}

subscriber MakeSubscriber(std::uint64_t nonce = 77) {
  return subscriber_builder()
      .Service(service_name("s0"))
      .Host(kernel::host_id("host-0"))
      .Nonce(kernel::nonce(nonce))
      .Build();
}

class OnePublisher : public ::testing::Test {
 protected:
  // Hands messages to the subscriber and its replies back until nothing is left to say.
  void Deliver(subscriber& to, const subscriber_actions& actions) {
    std::deque<outgoing> pending(actions.messages.begin(), actions.messages.end());
    Note(actions);
    while (!pending.empty()) {
      const outgoing next = pending.front();
      pending.pop_front();
      if (next.to != id_) continue;
      for (const upstream_message& reply : to.OnMessage(next.message, clock_.Now()).send) {
        const auto more = Answer(reply);
        Note(more);
        pending.insert(pending.end(), more.messages.begin(), more.messages.end());
      }
    }
  }

  subscriber_actions Answer(const upstream_message& message) {
    if (const auto* request = std::get_if<subscribe>(&message)) {
      return publisher_.OnSubscribe(id_, *request, clock_.Now(), random_);
    }
    if (const auto* query = std::get_if<proof_query>(&message)) {
      return publisher_.OnProofQuery(id_, *query, clock_.Now());
    }
    return publisher_.OnApplied(id_, std::get<applied>(message), clock_.Now());
  }

  void Note(const subscriber_actions& actions) {
    questions_.insert(questions_.end(), actions.proof_requests.begin(),
                      actions.proof_requests.end());
  }

  void Connect(subscriber& to) { Deliver(to, Answer(to.Subscribe(clock_.Now()))); }

  void Ticks(subscriber& to, int count) {
    for (int index = 0; index < count; ++index) {
      clock_.Advance(kTickInterval);
      Deliver(to, publisher_.Tick(clock_.Now()));
    }
  }

  kernel::manual_clock clock_;
  kernel::seeded_random random_{1};
  publisher publisher_{kernel::nonce(1000)};
  subscriber_id id_{1};
  std::vector<proof_request> questions_;
};

TEST_F(OnePublisher, BringsASubscriberFromNothingToTheNewestVersionAndReadiness) {
  membership::member_table members;
  members.Announce(Member("a", "s1"), membership_revision(1));
  members.Announce(Member("b", "s2"), membership_revision(2));
  publisher_.PublishTable(table_version(7), Chain(3), clock_.Now());
  publisher_.PublishMembers(members, clock_.Now());
  subscriber daemon = MakeSubscriber();
  Connect(daemon);
  EXPECT_EQ(daemon.version(), table_version(7));
  EXPECT_EQ(daemon.rows(), table::ScopeOf(Chain(3), service_name("s0")));
  EXPECT_EQ(daemon.members().size(), 1U);
  EXPECT_FALSE(daemon.ready());
  ASSERT_EQ(questions_.size(), 1U);
  Deliver(daemon,
          publisher_.OnProof(proof{questions_[0].nonce, table_version(7), membership_revision(2)},
                             clock_.Now()));
  EXPECT_TRUE(daemon.ready());
}

TEST_F(OnePublisher, SendsDeltasNoticesAndMemberChanges) {
  publisher_.PublishTable(table_version(1), Chain(3), clock_.Now());
  subscriber daemon = MakeSubscriber();
  Connect(daemon);
  const auto delta = publisher_.PublishTable(table_version(2), Chain(3, 900), clock_.Now());
  ASSERT_EQ(delta.messages.size(), 1U);
  EXPECT_EQ(std::get<configuration>(delta.messages[0].message).base, table_version(1));
  Deliver(daemon, delta);
  EXPECT_EQ(daemon.rows(), table::ScopeOf(Chain(3, 900), service_name("s0")));
  table::row_map outside = Chain(3, 900);
  outside.erase(table::row_key{table::row_kind::kRoute, "s2"});
  const auto notice = publisher_.PublishTable(table_version(3), outside, clock_.Now());
  ASSERT_EQ(notice.messages.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<version_notice>(notice.messages[0].message));
  Deliver(daemon, notice);
  EXPECT_EQ(daemon.version(), table_version(3));
  membership::member_table members;
  members.Announce(Member("a", "s1"), membership_revision(4));
  Deliver(daemon, publisher_.PublishMembers(members, clock_.Now()));
  EXPECT_EQ(daemon.members().size(), 1U);
  members.Leave(kernel::upstream_id("a"), kernel::incarnation(1), membership_revision(5));
  Deliver(daemon, publisher_.PublishMembers(members, clock_.Now()));
  EXPECT_TRUE(daemon.members().empty());
}

// Guards against members of a service that joined the scope staying unknown.
TEST_F(OnePublisher, SendsTheMembersOfAServiceThatJoinsTheScope) {
  membership::member_table members;
  members.Announce(Member("b", "s2"), membership_revision(1));
  publisher_.PublishMembers(members, clock_.Now());
  publisher_.PublishTable(table_version(1), Chain(3), clock_.Now());
  subscriber daemon = MakeSubscriber();
  Connect(daemon);
  EXPECT_TRUE(daemon.members().empty());
  table::row_map wider = Chain(3);
  std::get<table::service_row>(wider[table::KeyOf(service_name("s0"))]).calls.emplace_back("s2");
  Deliver(daemon, publisher_.PublishTable(table_version(2), wider, clock_.Now()));
  EXPECT_EQ(daemon.members().size(), 1U);
  EXPECT_TRUE(daemon.members_complete());
}

// Guards against a large scope being sent in one message or all at once.
TEST_F(OnePublisher, SendsALargeSnapshotInPacedPieces) {
  table::row_map rows = Chain(1);
  for (int index = 0; index < 8'000; ++index) {
    const std::string name = "extra" + std::to_string(index);
    rows[table::row_key{table::row_kind::kRoute, name}] =
        table::route_row{"/" + name + std::string(100, 'x'), service_name("s0"), false};
  }
  publisher_.PublishTable(table_version(1), rows, clock_.Now());
  subscriber daemon = MakeSubscriber();
  Connect(daemon);
  std::int64_t largest = 0;
  int ticks = 0;
  while (daemon.version() == table_version() && ++ticks < 100) {
    clock_.Advance(kTickInterval);
    const auto actions = publisher_.Tick(clock_.Now());
    std::int64_t released = 0;
    for (const outgoing& sent : actions.messages) {
      const auto size = static_cast<std::int64_t>(codec::Encode(sent.message).size());
      EXPECT_LE(size, kMaxPieceBytes.value());
      released += size;
    }
    largest = std::max(largest, released);
    Deliver(daemon, actions);
  }
  EXPECT_GT(ticks, 2);
  EXPECT_LE(largest, kBytesPerTick.value() + kMaxPieceBytes.value());
  EXPECT_EQ(daemon.rows(), rows);
  EXPECT_EQ(daemon.staged(), kernel::byte_count(0));
}

// Guards against a delta being applied to rows that it was not made for.
TEST_F(OnePublisher, ResyncsWhenADeltaWasLost) {
  publisher_.PublishTable(table_version(1), Chain(2), clock_.Now());
  subscriber daemon = MakeSubscriber();
  Connect(daemon);
  clock_.Advance(kResyncInterval);
  publisher_.PublishTable(table_version(2), Chain(3), clock_.Now());
  const auto second = publisher_.PublishTable(table_version(3), Chain(3, 700), clock_.Now());
  Deliver(daemon, second);
  EXPECT_EQ(daemon.version(), table_version(3));
  EXPECT_EQ(daemon.rows(), table::ScopeOf(Chain(3, 700), service_name("s0")));
}

// Guards against a daemon that moves back when its new publisher lags.
TEST_F(OnePublisher, KeepsWhatItHoldsAtAPublisherThatLags) {
  publisher_.PublishTable(table_version(5), Chain(2), clock_.Now());
  subscriber daemon = MakeSubscriber();
  Connect(daemon);
  publisher lagging(kernel::nonce(5000));
  lagging.PublishTable(table_version(4), Chain(3), clock_.Now());
  const auto offered =
      lagging.OnSubscribe(id_, daemon.Subscribe(clock_.Now()), clock_.Now(), random_);
  for (const outgoing& sent : offered.messages) daemon.OnMessage(sent.message, clock_.Now());
  EXPECT_EQ(daemon.version(), table_version(5));
  for (const outgoing& sent :
       lagging.PublishTable(table_version(6), Chain(2, 900), clock_.Now()).messages) {
    daemon.OnMessage(sent.message, clock_.Now());
  }
  EXPECT_EQ(daemon.rows(), table::ScopeOf(Chain(2, 900), service_name("s0")));
}

// Guards against a version that is not closed or not valid being enforced.
TEST(Subscriber, RefusesVersionsThatItCannotEnforce) {
  subscriber daemon = MakeSubscriber();
  table::row_map open = table::ScopeOf(Chain(2), service_name("s0"));
  open.erase(table::KeyOf(kernel::wait_name("w1")));
  configuration message{
      service_name("s0"), table_version(3), {}, table::DeltaBetween({}, open), {}, {},
      piece_number(1)};
  EXPECT_EQ(daemon.OnMessage(message, {}).refused, table_version(3));
  table::row_map invalid = table::ScopeOf(Chain(2, -1), service_name("s0"));
  message.rows = table::DeltaBetween({}, invalid);
  message.version = table_version(4);
  EXPECT_EQ(daemon.OnMessage(message, {}).refused, table_version(4));
  EXPECT_EQ(daemon.version(), table_version());
  EXPECT_TRUE(daemon.rows().empty());
}

// Guards against pieces from outside taking any amount of memory.
TEST(Subscriber, BoundsStagedPieces) {
  subscriber daemon = MakeSubscriber();
  configuration piece;
  piece.service = service_name("s0");
  piece.version = table_version(1);
  piece.pieces = piece_number(kMaxPieces);
  piece.rows.assign(
      1000, table::row_change{{table::row_kind::kRoute, std::string(100, 'x')}, std::nullopt});
  for (std::uint32_t index = 0; index + 1 < kMaxPieces; ++index) {
    piece.piece = piece_number(index);
    daemon.OnMessage(piece, {});
    ASSERT_LE(daemon.staged().value(), kMaxStagedBytes.value());
  }
}

// Guards against requests being accepted before the proof, with the proof of an earlier process,
// or before what the proof names is held.
TEST(Subscriber, IsReadyOnlyWithItsOwnProofAndTheProvedVersion) {
  subscriber daemon = MakeSubscriber(77);
  daemon.OnMessage(proof{kernel::nonce(76), table_version(0), membership_revision(0)}, {});
  EXPECT_FALSE(daemon.ready());
  daemon.OnMessage(proof{kernel::nonce(77), table_version(2), membership_revision(0)}, {});
  EXPECT_FALSE(daemon.ready());
  configuration message{service_name("s0"),
                        table_version(2),
                        {},
                        table::DeltaBetween({}, table::ScopeOf(Chain(1), service_name("s0"))),
                        {},
                        {},
                        piece_number(1)};
  EXPECT_TRUE(daemon.OnMessage(message, {}).became_ready);
  EXPECT_TRUE(daemon.ready());
}

// Guards against staying with a control host that is cut off from the majority.
TEST(Subscriber, MovesWhenHeartbeatRoundsStopAdvancing) {
  kernel::manual_clock clock;
  subscriber daemon = MakeSubscriber();
  daemon.Subscribe(clock.Now());
  const heartbeat same{kernel::heartbeat_round(4), {}, {}};
  daemon.OnMessage(same, clock.Now());
  clock.Advance(kHeartbeatTimeout - kernel::milliseconds(1));
  EXPECT_FALSE(daemon.ShouldMove(clock.Now()));
  daemon.OnMessage(same, clock.Now());
  clock.Advance(kernel::milliseconds(1));
  EXPECT_TRUE(daemon.ShouldMove(clock.Now()));
  daemon.OnMessage(heartbeat{kernel::heartbeat_round(5), {}, {}}, clock.Now());
  EXPECT_FALSE(daemon.ShouldMove(clock.Now()));
}

// Guards against an answer that was formed before a nonce arrived being taken as its proof.
TEST(ProofBatch, CoversOnlyNoncesThatArrivedBeforeTheQuestion) {
  kernel::manual_clock clock;
  proof_batch batch(kernel::nonce(1));
  batch.Add(subscriber_id(1), kernel::nonce(101));
  batch.Add(subscriber_id(2), kernel::nonce(102));
  const auto first = batch.Ask(clock.Now());
  ASSERT_TRUE(first);
  batch.Add(subscriber_id(3), kernel::nonce(103));
  EXPECT_FALSE(batch.Ask(clock.Now()));
  EXPECT_EQ(batch.Answer(*first).size(), 2U);
  const auto second = batch.Ask(clock.Now());
  ASSERT_TRUE(second);
  EXPECT_NE(*first, *second);
  EXPECT_TRUE(batch.Answer(*first).empty());
  EXPECT_EQ(batch.Answer(*second).size(), 1U);
}

// Guards against a delta for a version that was skipped here and so is not known.
TEST(ScopeHistory, GivesNoDeltaFromSkippedOrForgottenVersions) {
  scope_history history(service_name("s0"));
  history.Advance(table_version(1), Chain(1));
  history.Advance(table_version(4), Chain(1, 50));
  EXPECT_TRUE(history.ChangesSince(table_version(1)));
  EXPECT_FALSE(history.ChangesSince(table_version(2)));
  EXPECT_FALSE(history.ChangesSince(table_version(5)));
  for (std::uint64_t version = 5; version <= kMaxVersionHistory + 10; ++version) {
    history.Advance(table_version(version), Chain(1, static_cast<std::int64_t>(version)));
  }
  EXPECT_FALSE(history.ChangesSince(table_version(9)));
  EXPECT_EQ(history.ChangesSince(table_version(10))->size(), 1U);
}

TEST(Messages, RoundTripThroughTheCodec) {
  const std::vector<upstream_message> up{
      subscribe{service_name("s0"), kernel::host_id("h"), table_version(1), membership_revision(2),
                kernel::nonce(3), kernel::endpoint("e"), true, failure_count(1)},
      proof_query{kernel::nonce(9)},
      applied{table_version(1), membership_revision(2), {{table_version(1), daemon_count(4)}}, {}}};
  for (const upstream_message& message : up) {
    EXPECT_EQ(codec::Decode<upstream_message>(codec::Encode(message)).value(), message);
  }
  const std::vector<downstream_message> down{
      redirect{{kernel::endpoint("e")}, 5}, version_notice{table_version(1), table_version(2)},
      heartbeat{kernel::heartbeat_round(1), table_version(2), membership_revision(3)},
      proof{kernel::nonce(1), table_version(2), membership_revision(3)},
      members{{},
              membership_revision(3),
              {},
              {{kernel::upstream_id("a"), service_name("s1"), Member("a", "s1")}},
              true,
              {},
              {},
              {}}};
  for (const downstream_message& message : down) {
    EXPECT_EQ(codec::Decode<downstream_message>(codec::Encode(message)).value(), message);
  }
}

}  // namespace
}  // namespace cornelweir::distribution
