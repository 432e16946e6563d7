#include "cornelweir/distribution.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"

namespace cornelweir::distribution {
namespace {

using kernel::membership_revision;
using kernel::service_name;
using kernel::table_version;
using members_message = distribution::members;

// A table of services s0 to s<n-1>, each of which calls the next one.
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

// The delta between two versions of the scope of s0, in one piece.
configuration Delta(std::uint64_t base, const table::row_map& old_rows, std::uint64_t version,
                    const table::row_map& new_rows) {
  configuration message;
  message.service = service_name("s0");
  message.version = table_version(version);
  message.base = table_version(base);
  message.rows = table::DeltaBetween(old_rows, new_rows);
  return message;
}

configuration Snapshot(std::uint64_t version, const table::row_map& scope) {
  return Delta(0, {}, version, scope);
}

// All members for the scope of a version, in one piece.
members_message Members(std::uint64_t revision, std::uint64_t scope_version,
                        std::vector<membership::member_change> changes = {}) {
  members_message message;
  message.revision = membership_revision(revision);
  message.scope_version = table_version(scope_version);
  message.changes = std::move(changes);
  message.full = true;
  return message;
}

// NOLINTNEXTLINE(readability-identifier-naming)
class PublisherTest : public ::testing::Test {
 protected:
  // Delivers messages to the subscriber and its replies to the publisher until none is left.
  void Deliver(subscriber& daemon, const subscriber_actions& actions) {
    std::deque<outgoing> pending(actions.messages.begin(), actions.messages.end());
    RecordQueries(actions);
    while (!pending.empty()) {
      const outgoing next = pending.front();
      pending.pop_front();
      if (next.recipient != id_) continue;
      for (const subscriber_message& reply :
           daemon.OnMessage(next.message, clock_.Now()).messages) {
        const auto response = Answer(reply);
        RecordQueries(response);
        pending.insert(pending.end(), response.messages.begin(), response.messages.end());
      }
    }
  }

  subscriber_actions Answer(const subscriber_message& message) {
    if (const auto* request = std::get_if<subscribe>(&message)) {
      return publisher_.OnSubscribe(id_, *request, clock_.Now(), random_);
    }
    if (const auto* query = std::get_if<proof_query>(&message)) {
      return publisher_.OnProofQuery(id_, *query, clock_.Now());
    }
    return publisher_.OnApplied(id_, std::get<applied>(message), clock_.Now());
  }

  void RecordQueries(const subscriber_actions& actions) {
    proof_requests_.insert(proof_requests_.end(), actions.proof_requests.begin(),
                           actions.proof_requests.end());
  }

  void Connect(subscriber& daemon) { Deliver(daemon, Answer(daemon.Subscribe(clock_.Now()))); }

  void Ticks(subscriber& daemon, int count) {
    for (int index = 0; index < count; ++index) {
      clock_.Advance(kTickInterval);
      Deliver(daemon, publisher_.Tick(clock_.Now()));
    }
  }

  kernel::manual_clock clock_;
  kernel::seeded_random random_{1};
  publisher publisher_{kernel::nonce(1000)};
  subscriber_id id_{1};
  std::vector<proof_request> proof_requests_;
};

TEST_F(PublisherTest, BringsANewSubscriberToTheNewestVersionAndReadiness) {
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
  ASSERT_EQ(proof_requests_.size(), 1U);
  Deliver(daemon, publisher_.OnProof(
                      proof{proof_requests_[0].nonce, table_version(7), membership_revision(2)},
                      clock_.Now()));
  EXPECT_TRUE(daemon.ready());
}

TEST_F(PublisherTest, SendsDeltasNoticesAndMemberChanges) {
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
  clock_.Advance(kTickInterval);
  Deliver(daemon, publisher_.PublishMembers(members, clock_.Now()));
  EXPECT_TRUE(daemon.members().empty());
}

// Guards against a subscriber never receiving the members of a service that was added to its scope.
TEST_F(PublisherTest, SendsTheMembersOfAServiceAddedToTheScope) {
  membership::member_table members;
  members.Announce(Member("b", "s2"), membership_revision(1));
  publisher_.PublishMembers(members, clock_.Now());
  publisher_.PublishTable(table_version(1), Chain(3), clock_.Now());
  subscriber daemon = MakeSubscriber();
  Connect(daemon);
  EXPECT_TRUE(daemon.members().empty());
  table::row_map extended = Chain(3);
  std::get<table::service_row>(extended[table::KeyOf(service_name("s0"))]).calls.emplace_back("s2");
  Deliver(daemon, publisher_.PublishTable(table_version(2), extended, clock_.Now()));
  EXPECT_EQ(daemon.members().size(), 1U);
  EXPECT_TRUE(daemon.members_complete());
}

// Guards against a large scope being sent in one message or in one tick.
TEST_F(PublisherTest, SendsALargeSnapshotInPacedPieces) {
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
  EXPECT_EQ(daemon.staged_bytes(), kernel::byte_count(0));
}

// Guards against a delta being applied to rows of another version than its base.
TEST_F(PublisherTest, ResyncsWhenADeltaWasLost) {
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

// Guards against a daemon going back to an older version when its new publisher lags.
TEST_F(PublisherTest, KeepsItsVersionWithAPublisherThatLags) {
  publisher_.PublishTable(table_version(5), Chain(2), clock_.Now());
  subscriber daemon = MakeSubscriber();
  Connect(daemon);
  publisher lagging(kernel::nonce(5000));
  lagging.PublishTable(table_version(4), Chain(3), clock_.Now());
  const auto sent_on_subscribe =
      lagging.OnSubscribe(id_, daemon.Subscribe(clock_.Now()), clock_.Now(), random_);
  for (const outgoing& sent : sent_on_subscribe.messages) {
    daemon.OnMessage(sent.message, clock_.Now());
  }
  EXPECT_EQ(daemon.version(), table_version(5));
  for (const outgoing& sent :
       lagging.PublishTable(table_version(6), Chain(2, 900), clock_.Now()).messages) {
    daemon.OnMessage(sent.message, clock_.Now());
  }
  EXPECT_EQ(daemon.rows(), table::ScopeOf(Chain(2, 900), service_name("s0")));
}

// Guards against a daemon without complete members receiving only changes, which it can't apply,
// after each resync request.
TEST_F(PublisherTest, SendsAllMembersToASubscriberThatHoldsNone) {
  membership::member_table members;
  members.Announce(Member("a", "s1"), membership_revision(1));
  publisher_.PublishMembers(members, clock_.Now());
  publisher_.PublishTable(table_version(1), Chain(2), clock_.Now());
  subscribe request;
  request.service = service_name("s0");
  request.held_version = table_version(1);
  const auto actions = publisher_.OnSubscribe(id_, request, clock_.Now(), random_);
  ASSERT_EQ(actions.messages.size(), 1U);
  EXPECT_TRUE(std::get<members_message>(actions.messages[0].message).full);
}

// Guards against member changes from a publisher whose scope lacks a service being taken as
// complete.
TEST(Subscriber, RefusesMemberChangesForAnotherScope) {
  subscriber daemon = MakeSubscriber();
  daemon.OnMessage(Snapshot(1, table::ScopeOf(Chain(2), service_name("s0"))), {});
  daemon.OnMessage(Members(1, 1), {});
  EXPECT_TRUE(daemon.members_complete());
  members_message change = Members(2, 2);
  change.full = false;
  change.base = membership_revision(1);
  daemon.OnMessage(change, {});
  EXPECT_EQ(daemon.revision(), membership_revision(1));
  change.scope_version = table_version(1);
  daemon.OnMessage(change, {});
  EXPECT_EQ(daemon.revision(), membership_revision(2));
}

// Guards against enforcing a version whose rows are not closed under references or not valid.
TEST(Subscriber, RefusesVersionsThatItCannotEnforce) {
  subscriber daemon = MakeSubscriber();
  table::row_map dangling = table::ScopeOf(Chain(2), service_name("s0"));
  dangling.erase(table::KeyOf(kernel::wait_name("w1")));
  EXPECT_EQ(daemon.OnMessage(Snapshot(3, dangling), {}).refused_version, table_version(3));
  const table::row_map invalid = table::ScopeOf(Chain(2, -1), service_name("s0"));
  EXPECT_EQ(daemon.OnMessage(Snapshot(4, invalid), {}).refused_version, table_version(4));
  EXPECT_EQ(daemon.version(), table_version());
  EXPECT_TRUE(daemon.rows().empty());
}

// Guards against incomplete transfers from another process using unbounded memory.
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
    ASSERT_LE(daemon.staged_bytes().value(), kMaxStagedBytes.value());
  }
}

// Guards against accepting requests before the proof, with a proof for an earlier process, or
// before the version in the proof is reached.
TEST(Subscriber, IsReadyOnlyWithItsOwnProofAndTheProvedVersion) {
  subscriber daemon = MakeSubscriber(77);
  daemon.OnMessage(proof{kernel::nonce(76), table_version(0), membership_revision(0)}, {});
  EXPECT_FALSE(daemon.ready());
  daemon.OnMessage(proof{kernel::nonce(77), table_version(2), membership_revision(0)}, {});
  EXPECT_FALSE(daemon.ready());
  const auto result =
      daemon.OnMessage(Snapshot(2, table::ScopeOf(Chain(1), service_name("s0"))), {});
  EXPECT_TRUE(result.became_ready);
  EXPECT_TRUE(daemon.ready());
}

// Guards against a daemon staying with a control host that is partitioned from the majority.
TEST(Subscriber, MovesWhenHeartbeatRoundsStopAdvancing) {
  kernel::manual_clock clock;
  subscriber daemon = MakeSubscriber();
  daemon.Subscribe(clock.Now());
  const heartbeat repeated{kernel::heartbeat_round(4), {}, {}};
  daemon.OnMessage(repeated, clock.Now());
  clock.Advance(kHeartbeatTimeout - kernel::milliseconds(1));
  EXPECT_FALSE(daemon.HasHeartbeatTimedOut(clock.Now()));
  daemon.OnMessage(repeated, clock.Now());
  clock.Advance(kernel::milliseconds(1));
  EXPECT_TRUE(daemon.HasHeartbeatTimedOut(clock.Now()));
  daemon.OnMessage(heartbeat{kernel::heartbeat_round(5), {}, {}}, clock.Now());
  EXPECT_FALSE(daemon.HasHeartbeatTimedOut(clock.Now()));
}

// Guards against an answer created before a nonce arrived being taken as its proof.
TEST(ProofBatch, CoversOnlyNoncesThatArrivedBeforeTheQuery) {
  kernel::manual_clock clock;
  proof_batch batch(kernel::nonce(1));
  batch.Add(subscriber_id(1), kernel::nonce(101));
  batch.Add(subscriber_id(2), kernel::nonce(102));
  const auto first = batch.TakeDueQuery(clock.Now());
  ASSERT_TRUE(first);
  batch.Add(subscriber_id(3), kernel::nonce(103));
  EXPECT_FALSE(batch.TakeDueQuery(clock.Now()));
  EXPECT_EQ(batch.TakeAnswered(*first).size(), 2U);
  const auto second = batch.TakeDueQuery(clock.Now());
  ASSERT_TRUE(second);
  EXPECT_NE(*first, *second);
  EXPECT_TRUE(batch.TakeAnswered(*first).empty());
  EXPECT_EQ(batch.TakeAnswered(*second).size(), 1U);
}

// Guards against a delta from a version that was skipped or dropped, whose rows are unknown.
TEST(ScopeHistory, GivesNoDeltaFromSkippedOrDroppedVersions) {
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
  const std::vector<subscriber_message> up{
      subscribe{service_name("s0"), kernel::host_id("h"), table_version(1), membership_revision(2),
                kernel::nonce(3), kernel::endpoint("e"), true, failure_count(1)},
      proof_query{kernel::nonce(9)},
      applied{table_version(1), membership_revision(2), {{table_version(1), daemon_count(4)}}, {}}};
  for (const subscriber_message& message : up) {
    EXPECT_EQ(codec::Decode<subscriber_message>(codec::Encode(message)).value(), message);
  }
  const std::vector<publisher_message> down{
      redirect{{kernel::endpoint("e")}, 5}, version_notice{table_version(1), table_version(2)},
      heartbeat{kernel::heartbeat_round(1), table_version(2), membership_revision(3)},
      proof{kernel::nonce(1), table_version(2), membership_revision(3)},
      Members(3, 1, {{kernel::upstream_id("a"), service_name("s1"), Member("a", "s1")}})};
  for (const publisher_message& message : down) {
    EXPECT_EQ(codec::Decode<publisher_message>(codec::Encode(message)).value(), message);
  }
}

std::vector<relay_candidate> Hosts(int count) {
  std::vector<relay_candidate> hosts;
  for (int index = 0; index < count; ++index) {
    const std::string name = "h" + std::to_string(index);
    hosts.push_back(relay_candidate{kernel::host_id(name), kernel::endpoint(name)});
  }
  return hosts;
}

// Guards against redirect loops, overloaded relays and deep trees.
TEST(RelayTree, SpreadsDaemonsOverTheLevelAbove) {
  for (const int count : {3, 36, 200, 2'000}) {
    const relay_tree tree(Hosts(count));
    std::map<kernel::endpoint, std::size_t> children;
    int roots = 0;
    for (const relay_candidate& host : Hosts(count)) {
      kernel::endpoint parent = host.endpoint;
      const auto parents = tree.ParentsOf(host.host);
      EXPECT_EQ(parents.empty(), tree.IsRoot(host.host));
      roots += parents.empty() ? 1 : 0;
      if (!parents.empty()) ++children[parents.front()];
      int depth = 0;
      for (auto next = parents; !next.empty(); ++depth) {
        parent = next.front();
        next = tree.ParentsOf(kernel::host_id(parent.value()));
      }
      EXPECT_LE(depth, 3);
    }
    EXPECT_EQ(roots, static_cast<int>(kRootsPerService));
    std::size_t overloaded = 0;
    for (const auto& [relay, load] : children) overloaded += load > kMaxChildren ? 1 : 0;
    EXPECT_LE(overloaded, children.size() / 5) << count;
  }
}

// Guards against most daemons changing their parent when one joins.
TEST(RelayTree, ChangesTheParentsOfFewWhenADaemonJoins) {
  const relay_tree before(Hosts(200));
  const relay_tree after(Hosts(201));
  int moved = 0;
  for (const relay_candidate& host : Hosts(200)) {
    moved += before.ParentsOf(host.host) == after.ParentsOf(host.host) ? 0 : 1;
  }
  EXPECT_LT(moved, 100);
}

// NOLINTNEXTLINE(readability-identifier-naming)
class PlacementTest : public ::testing::Test {
 protected:
  PlacementTest() {
    for (int index = 0; index < 10; ++index) {
      members_.Announce(Member(std::to_string(index), "s0"), membership_revision(index + 1));
    }
    publisher_.PublishMembers(members_, clock_.Now());
    const relay_tree tree(RelayCandidates(members_.history(), service_name("s0")));
    for (int index = 0; index < 10; ++index) {
      const kernel::host_id host("host-" + std::to_string(index));
      (tree.IsRoot(host) ? roots_ : others_).push_back(host);
    }
  }

  static subscribe Request(const kernel::host_id& host, std::uint32_t failed = 0) {
    subscribe request;
    request.service = service_name("s0");
    request.subscriber = host;
    request.failed_relays = failure_count(failed);
    return request;
  }

  // The redirect that a new subscriber gets, if any.
  std::optional<redirect> Subscribe(std::uint64_t id, const subscribe& request) {
    const auto actions = publisher_.OnSubscribe(subscriber_id(id), request, clock_.Now(), random_);
    if (actions.released.empty()) return std::nullopt;
    return std::get<redirect>(actions.messages.back().message);
  }

  kernel::manual_clock clock_;
  kernel::seeded_random random_{1};
  membership::member_table members_;
  publisher publisher_{kernel::nonce(1000)};
  std::vector<kernel::host_id> roots_;
  std::vector<kernel::host_id> others_;
};

// Guards against control hosts serving all daemons directly.
TEST_F(PlacementTest, AdmitsRootsAndRedirectsOthersToThem) {
  EXPECT_FALSE(Subscribe(1, Request(roots_[0])));
  EXPECT_FALSE(Subscribe(2, Request(roots_[1])));
  const auto redirection = Subscribe(3, Request(others_[0]));
  ASSERT_TRUE(redirection);
  EXPECT_EQ(redirection->candidates.size(), kRootsPerService);
  EXPECT_EQ(publisher_.size(), 2U);
}

// Guards against failed relays leaving daemons without a publisher, and against control hosts then
// admitting all of their children.
TEST_F(PlacementTest, AdmitsABoundedNumberTemporarilyWhenRelaysFail) {
  std::size_t admitted = 0;
  for (std::size_t index = 0; index < others_.size(); ++index) {
    admitted += Subscribe(10 + index, Request(others_[index], 2)) ? 0 : 1;
  }
  EXPECT_EQ(admitted, kMaxTemporarySubscribersPerService);
  publisher_.Tick(clock_.Now());
  clock_.Advance(kTemporarySubscriptionDuration);
  EXPECT_EQ(publisher_.Tick(clock_.Now()).released.size(), kMaxTemporarySubscribersPerService);
  EXPECT_EQ(publisher_.size(), 0U);
  EXPECT_FALSE(Subscribe(30, Request(others_.back(), 2)));
}

// Guards against overload of a control host after many daemons restart.
TEST_F(PlacementTest, LimitsAdmissionsPerSecond) {
  std::size_t admitted = 0;
  for (std::uint64_t index = 0; index < 200; ++index) {
    subscribe request = Request(roots_[0]);
    request.service = service_name("other" + std::to_string(index));
    const auto redirection = Subscribe(index, request);
    if (!redirection) ++admitted;
    if (!redirection) continue;
    EXPECT_GE(redirection->retry_after_ms, kMinRetryAfter.count());
    EXPECT_LE(redirection->retry_after_ms, kMaxRetryAfter.count());
  }
  EXPECT_EQ(admitted, kMaxAdmissionsPerSecond);
}

// Guards against a half-open connection blocking the daemon's new connection.
TEST_F(PlacementTest, ReplacesAnEarlierConnectionOfTheSameDaemon) {
  Subscribe(1, Request(roots_[0]));
  const auto actions =
      publisher_.OnSubscribe(subscriber_id(2), Request(roots_[0]), clock_.Now(), random_);
  EXPECT_EQ(actions.released, (std::vector<subscriber_id>{subscriber_id(1)}));
  EXPECT_EQ(publisher_.size(), 1U);
}

// NOLINTNEXTLINE(readability-identifier-naming)
class RelayTest : public ::testing::Test {
 protected:
  static subscriber Daemon(const std::string& host, std::uint64_t nonce) {
    return subscriber_builder()
        .Service(service_name("s0"))
        .Host(kernel::host_id(host))
        .ControlEndpoint(kernel::endpoint(host))
        .Nonce(kernel::nonce(nonce))
        .Build();
  }

  // Brings the relay to version 1 with a publisher that sends heartbeat rounds.
  void ServeVersion1() {
    relay_.Subscribe(clock_.Now());
    relay_.OnPublisherMessage(Snapshot(1, table::ScopeOf(Chain(2), service_name("s0"))),
                              clock_.Now());
    relay_.OnPublisherMessage(Members(1, 1), clock_.Now());
    relay_.OnPublisherMessage(heartbeat{kernel::heartbeat_round(1), table_version(1), {}},
                              clock_.Now());
  }

  kernel::manual_clock clock_;
  kernel::seeded_random random_{1};
  relay relay_{Daemon("relay", 50), kernel::nonce(500)};
};

TEST_F(RelayTest, RelaysVersionsRoundsAndProofsToChildrenAndQueriesToThePublisher) {
  ServeVersion1();
  subscriber child = Daemon("child", 60);
  const auto admitted =
      relay_.OnChildMessage(subscriber_id(1), child.Subscribe(clock_.Now()), clock_.Now(), random_);
  for (const outgoing& sent : admitted.to_children) child.OnMessage(sent.message, clock_.Now());
  EXPECT_EQ(child.rows(), relay_.own_subscriber().rows());
  EXPECT_EQ(child.version(), table_version(1));
  ASSERT_EQ(admitted.to_publisher.size(), 1U);
  const kernel::nonce query = std::get<proof_query>(admitted.to_publisher[0]).nonce;
  const auto notice =
      relay_.OnPublisherMessage(version_notice{table_version(1), table_version(2)}, clock_.Now());
  ASSERT_EQ(notice.to_children.size(), 1U);
  child.OnMessage(notice.to_children[0].message, clock_.Now());
  // The proof answers only the queries of children, so the relay itself is not ready.
  const auto answer = relay_.OnPublisherMessage(
      proof{query, table_version(2), membership_revision(1)}, clock_.Now());
  EXPECT_FALSE(relay_.own_subscriber().ready());
  ASSERT_EQ(answer.to_children.size(), 1U);
  EXPECT_TRUE(child.OnMessage(answer.to_children[0].message, clock_.Now()).became_ready);
  const auto heartbeats =
      relay_.OnPublisherMessage(heartbeat{kernel::heartbeat_round(2), {}, {}}, clock_.Now());
  EXPECT_EQ(heartbeats.to_children.size(), 1U);
}

// Guards against children staying with a relay that has lost its own publisher.
TEST_F(RelayTest, RejectsChildrenWithoutAWorkingPublisher) {
  subscriber child = Daemon("child", 60);
  const auto is_rejected = [&] {
    return !relay_
                .OnChildMessage(subscriber_id(1), child.Subscribe(clock_.Now()), clock_.Now(),
                                random_)
                .released.empty();
  };
  EXPECT_TRUE(is_rejected());
  ServeVersion1();
  clock_.Advance(kHeartbeatTimeout);
  EXPECT_TRUE(is_rejected());
  EXPECT_TRUE(relay_.OnPublisherMessage(heartbeat{kernel::heartbeat_round(1), {}, {}}, clock_.Now())
                  .to_children.empty());
}

// Guards against members of an older scope being relayed as those of a newer scope.
TEST_F(RelayTest, RelaysTheMembersOfANewServiceWithItsScope) {
  ServeVersion1();
  subscriber child = Daemon("child", 60);
  const auto admitted =
      relay_.OnChildMessage(subscriber_id(1), child.Subscribe(clock_.Now()), clock_.Now(), random_);
  for (const outgoing& sent : admitted.to_children) child.OnMessage(sent.message, clock_.Now());
  table::row_map extended = Chain(3);
  std::get<table::service_row>(extended[table::KeyOf(service_name("s0"))]).calls.emplace_back("s2");
  extended = table::ScopeOf(extended, service_name("s0"));
  const members_message early =
      Members(2, 2, {{kernel::upstream_id("b"), service_name("s2"), Member("b", "s2")}});
  EXPECT_TRUE(relay_.OnPublisherMessage(early, clock_.Now()).to_children.empty());
  const auto relayed = relay_.OnPublisherMessage(
      Delta(1, relay_.own_subscriber().rows(), 2, extended), clock_.Now());
  for (const outgoing& sent : relayed.to_children) child.OnMessage(sent.message, clock_.Now());
  EXPECT_EQ(child.rows(), extended);
  EXPECT_EQ(child.members().size(), 1U);
  EXPECT_TRUE(child.members_complete());
}

// Guards against a report that was lost with a connection never reaching a control host.
TEST_F(RelayTest, RepeatsReports) {
  ServeVersion1();
  const auto sends_report = [&] {
    const auto up = relay_.Tick(clock_.Now()).to_publisher;
    return std::any_of(up.begin(), up.end(), [](const subscriber_message& message) {
      return std::holds_alternative<applied>(message);
    });
  };
  EXPECT_FALSE(sends_report());
  clock_.Advance(kReportInterval);
  EXPECT_TRUE(sends_report());
}

// Guards against control hosts not seeing which daemons are behind, and against reports that grow
// with the number of daemons.
TEST_F(RelayTest, ReportsTheVersionsOfChildrenInABoundedSize) {
  ServeVersion1();
  for (std::uint64_t index = 0; index < 20; ++index) {
    subscribe request;
    request.service = service_name("s0");
    request.subscriber = kernel::host_id("child-" + std::to_string(index));
    relay_.OnChildMessage(subscriber_id(index + 1), request, clock_.Now(), random_);
    if (index >= 2) {
      relay_.OnChildMessage(subscriber_id(index + 1), applied{table_version(1), {}, {}, {}},
                            clock_.Now(), random_);
    }
  }
  const auto up = relay_.Tick(clock_.Now()).to_publisher;
  const auto& report = std::get<applied>(up.back());
  EXPECT_EQ(report.below, (std::vector<version_count>{{table_version(1), daemon_count(18)},
                                                      {table_version(0), daemon_count(2)}}));
  EXPECT_EQ(report.behind.size(), 2U);
  EXPECT_TRUE(relay_.Tick(clock_.Now()).to_publisher.empty());
  service_progress progress;
  progress.version = table_version(100);
  for (std::uint64_t version = 0; version < 50; ++version) {
    AddReport(kernel::host_id(std::to_string(version)), applied{table_version(version), {}, {}, {}},
              progress);
  }
  EXPECT_EQ(progress.counts.size(), kMaxVersionCounts);
  EXPECT_EQ(progress.behind.size(), kMaxBehindHosts);
  EXPECT_EQ(CountAtLeast(progress, table_version(45)), daemon_count(5));
  EXPECT_EQ(CountBehind(progress, table_version(45)), daemon_count(45));
}

// Guards against relays that redirect a daemon to each other forever.
TEST(ReconnectPolicy, ReturnsToAControlHostAfterTwoFailedRelays) {
  reconnect_policy policy({kernel::endpoint("control")}, kernel::seeded_random(1));
  const redirect loop{{kernel::endpoint("r1"), kernel::endpoint("r2"), kernel::endpoint("r3")}, 0};
  EXPECT_FALSE(policy.Next().is_relay);
  policy.OnRedirect(loop);
  EXPECT_EQ(policy.Next().endpoint, kernel::endpoint("r1"));
  policy.OnRedirect(loop);
  EXPECT_TRUE(policy.Next().is_relay);
  policy.OnRedirect(loop);
  EXPECT_FALSE(policy.Next().is_relay);
  EXPECT_EQ(policy.failed_relays(), kRelayFailuresForDirectSubscription);
  policy.OnHealthy();
  EXPECT_EQ(policy.failed_relays(), failure_count(0));
}

// Guards against synchronized retries and against delays that grow without bound.
TEST(ReconnectPolicy, BacksOffWithFullJitterUpToTheBound) {
  reconnect_policy policy({kernel::endpoint("control")}, kernel::seeded_random(1));
  EXPECT_EQ(policy.Next().delay.count(), 0);
  std::int64_t longest = 0;
  for (int attempt = 0; attempt < 100; ++attempt) {
    policy.OnFailure();
    const std::int64_t delay = policy.Next().delay.count();
    EXPECT_LE(delay, std::min<std::int64_t>(kMaxBackoff.count(), kMinBackoff.count()
                                                                     << std::min(attempt, 10)));
    longest = std::max(longest, delay);
  }
  EXPECT_GT(longest, kMaxBackoff.count() / 2);
}

}  // namespace
}  // namespace cornelweir::distribution
