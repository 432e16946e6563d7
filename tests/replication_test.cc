#include "cornelweir/replication.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/kernel.h"

namespace cornelweir::replication {
namespace {

using kernel::byte_string;
using kernel::host_id;
using kernel::log_index;
using kernel::milliseconds;
using kernel::nonce;

const group_configuration kThreeVoters{{host_id("a"), host_id("b"), host_id("c")}, {}};

// A group of nodes on a manual clock. Delivers messages and makes output durable without delay,
// except for disconnected hosts, whose messages are dropped.
class test_group {
 public:
  explicit test_group(const group_configuration& initial) {
    std::uint64_t seed = 1;
    for (const host_id& host : initial.voters) {
      nodes_.emplace(host, node_builder()
                               .Self(host)
                               .Disk(kernel::disk_id(seed))
                               .Bootstrap(true)
                               .Configuration(initial)
                               .Seed(seed)
                               .Build());
      ++seed;
    }
  }

  node& NodeOf(const std::string& host) { return nodes_.at(host_id(host)); }
  kernel::time_point Now() const { return clock_.Now(); }

  void RunFor(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds(5)) {
      clock_.Advance(milliseconds(5));
      for (auto& [host, host_node] : nodes_) host_node.Tick(clock_.Now());
      DeliverAll();
    }
  }

  void DeliverAll() {
    bool has_work = true;
    while (has_work) {
      has_work = false;
      for (auto& [host, host_node] : nodes_) {
        if (!host_node.HasReady()) continue;
        has_work = true;
        ready taken = host_node.TakeReady();
        host_node.Persisted();
        if (taken.snapshot) loaded_snapshots_[host] = taken.snapshot->data.bytes;
        for (log_entry& entry : taken.committed) {
          if (entry.kind == entry_kind::kCommand) applied_commands_[host] += entry.payload.bytes;
        }
        for (const read_index_result& read : taken.reads) read_results_[host].push_back(read);
        for (envelope& sent : taken.messages) {
          largest_message_bytes_ = std::max(largest_message_bytes_, codec::Encode(sent).size());
          if (nodes_.contains(sent.to) && !disconnected_.contains(sent.to) &&
              !disconnected_.contains(host) && !muted_.contains(host)) {
            snapshot_pieces_ += std::holds_alternative<install_snapshot>(sent.body) ? 1 : 0;
            in_transit_.push_back(std::move(sent));
          }
        }
      }
      while (!in_transit_.empty()) {
        const envelope sent = std::move(in_transit_.front());
        in_transit_.pop_front();
        nodes_.at(sent.to).Receive(sent, clock_.Now());
        has_work = true;
      }
    }
  }

  node* Leader() {
    for (auto& [host, host_node] : nodes_) {
      if (host_node.IsLeader()) return &host_node;
    }
    return nullptr;
  }

  std::map<host_id, std::string> applied_commands_;
  std::map<host_id, std::string> loaded_snapshots_;
  std::size_t snapshot_pieces_ = 0;
  std::size_t largest_message_bytes_ = 0;
  std::map<host_id, std::vector<read_index_result>> read_results_;
  std::set<host_id> disconnected_;
  // Hosts whose messages are dropped, but that receive those of the others.
  std::set<host_id> muted_;
  std::map<host_id, node> nodes_;

 private:
  std::deque<envelope> in_transit_;
  kernel::manual_clock clock_;
};

TEST(Replication, ElectsALeaderAndAppliesProposalsEverywhere) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  node* leader = group.Leader();
  ASSERT_NE(leader, nullptr);
  ASSERT_TRUE(leader->Propose(byte_string{"x"}, group.Now()));
  group.DeliverAll();
  for (const host_id& host : kThreeVoters.voters) EXPECT_EQ(group.applied_commands_[host], "x");
  EXPECT_EQ(leader->configuration().disks.size(), 3U);
}

TEST(Replication, AnswersReadsOnEveryHost) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  for (auto& [host, host_node] : group.nodes_) host_node.RequestReadIndex(nonce(7), group.Now());
  group.DeliverAll();
  for (const host_id& host : kThreeVoters.voters) {
    ASSERT_EQ(group.read_results_[host].size(), 1U);
    EXPECT_EQ(group.read_results_[host][0].index, group.Leader()->commit_index());
  }
}

TEST(Replication, RoundTripsAnEnvelopeThroughTheCodec) {
  const envelope sent{host_id("a"), host_id("b"),
                      append_entries{kernel::term(2),
                                     log_index(1),
                                     kernel::term(1),
                                     {log_entry{kernel::term(2), log_index(2), entry_kind::kCommand,
                                                byte_string{"\xff"}}},
                                     log_index(1),
                                     {},
                                     {}}};
  const auto decoded = codec::Decode<envelope>(codec::Encode(sent));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value(), sent);
}

// Returns the builder of a node of the group {a, b, c} whose disk has the given id.
node_builder HostWithDisk(const std::string& host, std::uint64_t disk, bool bootstrap) {
  return node_builder()
      .Self(host_id(host))
      .Disk(kernel::disk_id(disk))
      .Bootstrap(bootstrap)
      .Configuration(kThreeVoters);
}

log_entry Command(std::uint64_t term, std::uint64_t index) {
  return log_entry{kernel::term(term), log_index(index), entry_kind::kCommand, byte_string{"x"}};
}

ready TakeAndPersist(node& host_node) {
  ready taken = host_node.TakeReady();
  host_node.Persisted();
  return taken;
}

// Guards against committing an entry of an earlier term because a majority has stored it: another
// leader may still replace it.
TEST(Replication, CommitsEntriesOfEarlierTermsOnlyWithOneOfItsOwn) {
  kernel::manual_clock clock;
  node leader = HostWithDisk("a", 1, true)
                    .State(durable_state{kernel::term(2), std::nullopt})
                    .Entries({Command(1, 1), Command(2, 2)})
                    .Build();
  leader.Tick(clock.Now());
  clock.Advance(kElectionTimeoutMax);
  leader.Tick(clock.Now());
  for (const bool pre_vote : {true, false}) {
    const vote granted{kernel::term(3), true, pre_vote, kernel::disk_id(2), true};
    leader.Receive(envelope{host_id("b"), host_id("a"), granted}, clock.Now());
  }
  ASSERT_TRUE(leader.IsLeader());
  TakeAndPersist(leader);
  append_reply reply{kernel::term(3), true, log_index(2), {}, kernel::disk_id(2), true};
  leader.Receive(envelope{host_id("b"), host_id("a"), reply}, clock.Now());
  EXPECT_EQ(leader.commit_index(), log_index(0));
  reply.index = log_index(3);
  leader.Receive(envelope{host_id("b"), host_id("a"), reply}, clock.Now());
  EXPECT_EQ(leader.commit_index(), log_index(3));
}

// Guards against a second vote in a term after a restart.
TEST(Replication, RemembersItsVoteOverARestart) {
  const request_vote vote_request{kernel::term(4), log_index(0), kernel::term(0), false, {}};
  node voter = HostWithDisk("b", 2, true).Build();
  voter.Receive(envelope{host_id("a"), host_id("b"), vote_request}, kernel::time_point());
  const ready first = TakeAndPersist(voter);
  ASSERT_TRUE(first.state);
  EXPECT_TRUE(std::get<vote>(first.messages.at(0).body).granted);
  node restarted = HostWithDisk("b", 2, true).State(*first.state).Build();
  restarted.Receive(envelope{host_id("c"), host_id("b"), vote_request}, kernel::time_point());
  EXPECT_FALSE(std::get<vote>(TakeAndPersist(restarted).messages.at(0).body).granted);
}

// Guards against a host that lost its votes and entries granting a vote or campaigning.
TEST(Replication, GrantsNoVoteOnALostDisk) {
  kernel::manual_clock clock;
  node fresh = HostWithDisk("b", 9, /*bootstrap=*/false).Build();
  for (const std::uint64_t expected : {0, 2}) {
    for (const bool pre_vote : {true, false}) {
      const request_vote vote_request{kernel::term(4), log_index(5), kernel::term(3), pre_vote,
                                      kernel::disk_id(expected)};
      fresh.Receive(envelope{host_id("a"), host_id("b"), vote_request}, clock.Now());
      EXPECT_FALSE(std::get<vote>(TakeAndPersist(fresh).messages.at(0).body).granted);
    }
  }
  for (int i = 0; i < 10; ++i) {
    fresh.Tick(clock.Now());
    clock.Advance(kElectionTimeoutMax);
  }
  EXPECT_TRUE(TakeAndPersist(fresh).messages.empty());
}

// Guards against a host with a replaced disk that stays a learner, also if the group changes in
// between, or stays a voter under its old disk record.
TEST(Replication, ReplacesALostDiskThroughALearner) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  const host_id replaced = group.Leader() == &group.NodeOf("c") ? host_id("a") : host_id("c");
  group.nodes_.insert_or_assign(
      replaced, HostWithDisk(replaced.value(), 9, /*bootstrap=*/false).Seed(9).Build());
  bool changed = false;
  for (int i = 0; i < 100; ++i) {
    group.RunFor(milliseconds(5));
    const group_configuration& current = group.Leader()->configuration();
    if (changed || !IsLearner(current, replaced)) continue;
    changed = group.Leader()->ProposeConfiguration({current.voters, {replaced, host_id("d")}},
                                                   group.Now());
  }
  const group_configuration& repaired = group.Leader()->configuration();
  EXPECT_TRUE(changed);
  EXPECT_TRUE(IsVoter(repaired, replaced));
  ASSERT_NE(FindDiskRecord(repaired, replaced), nullptr);
  EXPECT_EQ(FindDiskRecord(repaired, replaced)->disk, kernel::disk_id(9));
}

// Guards against a host that hands out an old state as the newest: it hears the heartbeats of a
// leader, but as the leader gets no reply, it sends no entries.
TEST(Replication, ConfirmsNoRoundWithoutTheEntriesCommittedBefore) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  node& muted = *group.Leader();
  group.muted_.insert(*muted.leader());
  group.RunFor(2 * kElectionTimeoutMax);
  node& leader = *group.Leader();
  ASSERT_FALSE(muted.IsLeader());
  leader.Propose(byte_string{"x"}, group.Now());
  group.RunFor(kHeartbeatInterval);
  ASSERT_GT(leader.commit_index(), muted.commit_index());
  const kernel::heartbeat_round confirmed = muted.confirmed_round();
  const kernel::heartbeat_round round_of_leader = leader.confirmed_round();
  group.RunFor(10 * kHeartbeatInterval);
  EXPECT_GT(leader.confirmed_round(), round_of_leader);
  EXPECT_EQ(muted.confirmed_round(), confirmed);
  group.muted_.clear();
  group.RunFor(2 * kHeartbeatInterval);
  EXPECT_EQ(muted.commit_index(), leader.commit_index());
  EXPECT_GT(muted.confirmed_round(), round_of_leader);
}

// Guards against a new leader that hands out an old state as the newest: it has the entries that an
// earlier leader committed, but does not know yet that they are.
TEST(Replication, ConfirmsNoRoundBeforeAnEntryOfItsTermIsCommitted) {
  const kernel::term next_term(2);
  node leader = node_builder()
                    .Self(host_id("a"))
                    .Disk(kernel::disk_id(1))
                    .Bootstrap(true)
                    .State({kernel::term(1), std::nullopt})
                    .Entries({log_entry{kernel::term(1), log_index(1), entry_kind::kNoop, {}}})
                    .Configuration(kThreeVoters)
                    .Seed(1)
                    .Build();
  kernel::manual_clock clock;
  const auto receive = [&](const message& body) {
    leader.Receive({host_id("b"), host_id("a"), body}, clock.Now());
  };
  leader.Tick(clock.Now());
  clock.Advance(kElectionTimeoutMax);
  leader.Tick(clock.Now());
  receive(vote{next_term, true, /*pre_vote=*/true, kernel::disk_id(2), true});
  receive(vote{next_term, true, /*pre_vote=*/false, kernel::disk_id(2), true});
  ASSERT_TRUE(leader.IsLeader());
  const ready taken = leader.TakeReady();
  leader.Persisted();
  const auto sent = std::find_if(
      taken.messages.begin(), taken.messages.end(),
      [](const envelope& other) { return std::holds_alternative<append_entries>(other.body); });
  ASSERT_NE(sent, taken.messages.end());
  const kernel::heartbeat_round round = std::get<append_entries>(sent->body).round;
  receive(append_reply{next_term, false, log_index(1), round, kernel::disk_id(2), true});
  EXPECT_EQ(leader.confirmed_round(), kernel::heartbeat_round());
  receive(append_reply{next_term, true, log_index(2), round, kernel::disk_id(2), true});
  EXPECT_EQ(leader.commit_index(), log_index(2));
  EXPECT_EQ(leader.confirmed_round(), round);
}

// Guards against a leader that acts on a confirmation of its rounds after it was cut off: it must
// know that the confirmation ages, also while it still believes that it leads.
TEST(Replication, TellsWhenTheConfirmedRoundWasSent) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  node& leader = *group.Leader();
  const auto age = [&] { return group.Now() - leader.confirmed_round_sent_at().value(); };
  EXPECT_LE(age(), kHeartbeatInterval);
  group.disconnected_.insert(*leader.leader());
  group.RunFor(milliseconds(200));
  ASSERT_TRUE(leader.IsLeader());
  EXPECT_GE(age(), milliseconds(200));
  for (const host_id& host : kThreeVoters.voters) {
    if (!group.nodes_.at(host).IsLeader()) {
      EXPECT_FALSE(group.nodes_.at(host).confirmed_round_sent_at()) << host.value();
    }
  }
}

// Guards against an isolated leader that keeps confirming heartbeat rounds or accepting proposals.
TEST(Replication, StepsDownWithoutAMajority) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  node& leader = *group.Leader();
  group.disconnected_.insert(*leader.leader());
  const kernel::heartbeat_round confirmed = leader.confirmed_round();
  leader.RequestReadIndex(nonce(1), group.Now());
  group.RunFor(kElectionTimeoutMax + kHeartbeatInterval);
  EXPECT_FALSE(leader.IsLeader());
  EXPECT_EQ(leader.confirmed_round(), confirmed);
  EXPECT_FALSE(leader.Propose(byte_string{"x"}, group.Now()));
  const host_id self = group.disconnected_.extract(group.disconnected_.begin()).value();
  ASSERT_EQ(group.read_results_[self].size(), 1U);
  EXPECT_FALSE(group.read_results_[self][0].index);
}

// Guards against unbounded memory use while a majority is lost, and against payloads that are too
// large to send.
TEST(Replication, RefusesProposalsBeyondItsLimits) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  node& leader = *group.Leader();
  EXPECT_FALSE(leader.Propose(byte_string{std::string(kMaxPayloadBytes + 1, 'x')}, group.Now()));
  std::uint64_t accepted = 0;
  while (leader.Propose(byte_string{"x"}, group.Now())) ++accepted;
  EXPECT_EQ(accepted, kMaxBacklogEntries);
}

// Guards against messages above the size limit of the codec, and against a host that stays behind
// because the log no longer contains the entries that it missed.
TEST(Replication, CatchesUpByBoundedBatchesAndSnapshotPieces) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  node& leader = *group.Leader();
  const host_id lagging = &leader == &group.NodeOf("c") ? host_id("a") : host_id("c");
  const std::string large_payload(kMaxPayloadBytes, 'x');
  group.disconnected_.insert(lagging);
  for (int i = 0; i < 40; ++i) {
    ASSERT_TRUE(leader.Propose(byte_string{large_payload}, group.Now()));
    group.DeliverAll();
  }
  const std::string state(3 * kSnapshotPieceBytes + 1, 's');
  leader.Compact(leader.commit_index(), byte_string{state});
  group.disconnected_.clear();
  group.RunFor(milliseconds(200));
  EXPECT_EQ(group.nodes_.at(lagging).commit_index(), leader.commit_index());
  EXPECT_EQ(group.loaded_snapshots_[lagging], state);
  EXPECT_EQ(group.snapshot_pieces_, 4U);
  EXPECT_LE(group.largest_message_bytes_, codec::kMaxMessageBytes);
}

// Guards against two majorities that don't share a host, and against new voters with an empty log.
TEST(Replication, ChangesOneCaughtUpVoterAtATime) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  const host_id added("d");
  group.nodes_.emplace(added, HostWithDisk("d", 9, /*bootstrap=*/false).Seed(9).Build());
  const auto propose = [&](group_configuration changed) {
    const bool accepted = group.Leader()->ProposeConfiguration(std::move(changed), group.Now());
    group.RunFor(milliseconds(300));
    return accepted;
  };
  group_configuration four = kThreeVoters;
  four.voters.push_back(added);
  EXPECT_FALSE(propose({{*group.Leader()->leader()}, {}}));
  EXPECT_FALSE(propose(four));
  EXPECT_TRUE(propose({kThreeVoters.voters, {added}}));
  EXPECT_TRUE(propose(four));
  for (const auto& [host, host_node] : group.nodes_) {
    EXPECT_TRUE(IsVoter(host_node.configuration(), added));
  }
}

// Guards against a group that can't elect a leader: the host that alone has stored the entry of its
// own removal denies its vote to the other one, so it has to campaign itself.
TEST(Replication, RecoversFromARemovalThatOnlyTheRemovedLeaderHolds) {
  test_group group({{host_id("a"), host_id("b")}, {}});
  group.RunFor(milliseconds(1000));
  node& removed = *group.Leader();
  const host_id remaining = &removed == &group.NodeOf("a") ? host_id("b") : host_id("a");
  group.disconnected_.insert(remaining);
  ASSERT_TRUE(removed.ProposeConfiguration({{remaining}, {}}, group.Now()));
  group.RunFor(kElectionTimeoutMax + kHeartbeatInterval);
  ASSERT_FALSE(removed.IsLeader());
  group.disconnected_.clear();
  group.RunFor(milliseconds(3000));
  EXPECT_TRUE(group.nodes_.at(remaining).IsLeader());
}

// Guards against reports from which nobody can tell a voter that is gone from one that is slow.
TEST(Replication, KnowsWhenItLastHeardFromEachVoter) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  node& leader = *group.Leader();
  const host_id self = *leader.leader();
  const host_id lost = self == host_id("c") ? host_id("a") : host_id("c");
  ASSERT_EQ(leader.VoterContacts().size(), 3U);
  for (const voter_contact& contact : leader.VoterContacts()) {
    ASSERT_TRUE(contact.age);
    EXPECT_LE(*contact.age, contact.host == self ? milliseconds(0) : kHeartbeatInterval);
  }
  group.disconnected_.insert(lost);
  group.RunFor(milliseconds(2000));
  for (const voter_contact& contact : leader.VoterContacts()) {
    ASSERT_TRUE(contact.age);
    const milliseconds silence(contact.host == lost ? 2000 : 0);
    EXPECT_GE(*contact.age, silence) << contact.host.value();
    EXPECT_LE(*contact.age, silence + kHeartbeatInterval) << contact.host.value();
  }
}

// Guards against a voter that is taken for heard from because a host that is no voter, or that
// addressed another host, has sent something.
TEST(Replication, CountsOnlyMessagesOfVotersAsContact) {
  kernel::manual_clock clock;
  node host_node = HostWithDisk("a", 1, true).Build();
  const request_vote request{kernel::term(0), log_index(0), kernel::term(0), true, {}};
  host_node.Tick(clock.Now());
  host_node.Receive(envelope{host_id("b"), host_id("c"), request}, clock.Now());
  host_node.Receive(envelope{host_id("x"), host_id("a"), request}, clock.Now());
  clock.Advance(milliseconds(30));
  host_node.Receive(envelope{host_id("c"), host_id("a"), request}, clock.Now());
  clock.Advance(milliseconds(20));
  host_node.Tick(clock.Now());
  const std::vector<voter_contact> expected{{host_id("a"), milliseconds(0)},
                                            {host_id("b"), std::nullopt},
                                            {host_id("c"), milliseconds(20)}};
  EXPECT_EQ(host_node.VoterContacts(), expected);
}

// Guards against a report that shows a host as a follower while it campaigns in vain.
TEST(Replication, ReportsItsRole) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(1000));
  node& leader = *group.Leader();
  std::multiset<std::string_view> roles;
  for (const auto& [host, host_node] : group.nodes_) {
    roles.insert(RoleName(host_node.current_role()));
  }
  EXPECT_EQ(roles, (std::multiset<std::string_view>{"follower", "follower", "leader"}));
  for (const host_id& host : kThreeVoters.voters) group.disconnected_.insert(host);
  group.RunFor(milliseconds(2000));
  EXPECT_FALSE(leader.IsLeader());
  EXPECT_EQ(leader.current_role(), role::kPreCandidate);
}

// Guards against a group that waits for a full election timeout after all of its hosts have
// started.
TEST(Elections, ElectsALeaderSoonAfterAStart) {
  test_group group(kThreeVoters);
  group.RunFor(milliseconds(5));
  group.RunFor(std::chrono::duration_cast<milliseconds>(kFirstElectionMax));
  int leaders = 0;
  for (const char* host : {"a", "b", "c"}) leaders += group.NodeOf(host).IsLeader() ? 1 : 0;
  EXPECT_EQ(leaders, 1);
}

}  // namespace
}  // namespace cornelweir::replication
