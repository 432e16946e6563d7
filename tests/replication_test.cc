#include "cornelweir/replication.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
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

const group_configuration kThree{{host_id("a"), host_id("b"), host_id("c")}, {}};

// Delivers all messages at once and makes everything durable at once.
class small_group {
 public:
  explicit small_group(const group_configuration& initial) {
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

  node& At(const std::string& host) { return nodes_.at(host_id(host)); }
  kernel::time_point Now() const { return clock_.Now(); }

  void Run(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds(5)) {
      clock_.Advance(milliseconds(5));
      for (auto& [host, member] : nodes_) member.Tick(clock_.Now());
      Settle();
    }
  }

  void Settle() {
    bool busy = true;
    while (busy) {
      busy = false;
      for (auto& [host, member] : nodes_) {
        if (!member.HasReady()) continue;
        busy = true;
        ready taken = member.TakeReady();
        member.Persisted();
        if (taken.snapshot) loaded_[host] = taken.snapshot->data.bytes;
        for (log_entry& entry : taken.committed) {
          if (entry.kind == entry_kind::kCommand) applied_[host] += entry.payload.bytes;
        }
        for (const read_ready& read : taken.reads) reads_[host].push_back(read);
        for (envelope& sent : taken.messages) {
          largest_message_ = std::max(largest_message_, codec::Encode(sent).size());
          if (nodes_.contains(sent.to) && !cut_.contains(sent.to) && !cut_.contains(host)) {
            pieces_ += std::holds_alternative<install_snapshot>(sent.body) ? 1 : 0;
            queue_.push_back(std::move(sent));
          }
        }
      }
      while (!queue_.empty()) {
        const envelope sent = std::move(queue_.front());
        queue_.pop_front();
        nodes_.at(sent.to).Receive(sent, clock_.Now());
        busy = true;
      }
    }
  }

  node* Leader() {
    for (auto& [host, member] : nodes_) {
      if (member.IsLeader()) return &member;
    }
    return nullptr;
  }

  std::map<host_id, std::string> applied_;
  std::map<host_id, std::string> loaded_;
  std::size_t pieces_ = 0;
  std::size_t largest_message_ = 0;
  std::map<host_id, std::vector<read_ready>> reads_;
  std::set<host_id> cut_;
  std::map<host_id, node> nodes_;

 private:
  std::deque<envelope> queue_;
  kernel::manual_clock clock_;
};

TEST(Replication, ElectsALeaderAndAppliesProposalsEverywhere) {
  small_group group(kThree);
  group.Run(milliseconds(1000));
  node* leader = group.Leader();
  ASSERT_NE(leader, nullptr);
  ASSERT_TRUE(leader->Propose(byte_string{"x"}, group.Now()));
  group.Settle();
  for (const host_id& host : kThree.voters) EXPECT_EQ(group.applied_[host], "x");
  EXPECT_EQ(leader->configuration().disks.size(), 3U);
}

TEST(Replication, AnswersReadsOnEveryHost) {
  small_group group(kThree);
  group.Run(milliseconds(1000));
  for (auto& [host, member] : group.nodes_) member.RequestReadIndex(nonce(7), group.Now());
  group.Settle();
  for (const host_id& host : kThree.voters) {
    ASSERT_EQ(group.reads_[host].size(), 1U);
    EXPECT_EQ(group.reads_[host][0].index, group.Leader()->commit_index());
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

// A node of the group {a, b, c} whose disk has the given id.
node_builder HostWithDisk(const std::string& host, std::uint64_t disk, bool bootstrap) {
  return node_builder()
      .Self(host_id(host))
      .Disk(kernel::disk_id(disk))
      .Bootstrap(bootstrap)
      .Configuration(kThree);
}

log_entry Command(std::uint64_t term, std::uint64_t index) {
  return log_entry{kernel::term(term), log_index(index), entry_kind::kCommand, byte_string{"x"}};
}

ready TakeDurable(node& member) {
  ready taken = member.TakeReady();
  member.Persisted();
  return taken;
}

// Guards against an entry of an earlier term being committed because a majority holds it: another
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
  TakeDurable(leader);
  append_reply held{kernel::term(3), true, log_index(2), {}, kernel::disk_id(2), true};
  leader.Receive(envelope{host_id("b"), host_id("a"), held}, clock.Now());
  EXPECT_EQ(leader.commit_index(), log_index(0));
  held.index = log_index(3);
  leader.Receive(envelope{host_id("b"), host_id("a"), held}, clock.Now());
  EXPECT_EQ(leader.commit_index(), log_index(3));
}

// Guards against a second vote in a term after a restart.
TEST(Replication, RemembersItsVoteOverARestart) {
  const request_vote asked{kernel::term(4), log_index(0), kernel::term(0), false, {}};
  node voter = HostWithDisk("b", 2, true).Build();
  voter.Receive(envelope{host_id("a"), host_id("b"), asked}, kernel::time_point());
  const ready first = TakeDurable(voter);
  ASSERT_TRUE(first.state);
  EXPECT_TRUE(std::get<vote>(first.messages.at(0).body).granted);
  node restarted = HostWithDisk("b", 2, true).State(*first.state).Build();
  restarted.Receive(envelope{host_id("c"), host_id("b"), asked}, kernel::time_point());
  EXPECT_FALSE(std::get<vote>(TakeDurable(restarted).messages.at(0).body).granted);
}

// Guards against a host that forgot its votes and entries helping to elect a leader.
TEST(Replication, GrantsNoVoteOnALostDisk) {
  kernel::manual_clock clock;
  node fresh = HostWithDisk("b", 9, /*bootstrap=*/false).Build();
  for (const std::uint64_t expected : {0, 2}) {
    for (const bool pre_vote : {true, false}) {
      const request_vote asked{kernel::term(4), log_index(5), kernel::term(3), pre_vote,
                               kernel::disk_id(expected)};
      fresh.Receive(envelope{host_id("a"), host_id("b"), asked}, clock.Now());
      EXPECT_FALSE(std::get<vote>(TakeDurable(fresh).messages.at(0).body).granted);
    }
  }
  for (int i = 0; i < 10; ++i) {
    fresh.Tick(clock.Now());
    clock.Advance(kElectionTimeoutMax);
  }
  EXPECT_TRUE(TakeDurable(fresh).messages.empty());
}

// Guards against a replaced disk staying out of the group, also if the group changes in between, or
// a voter under the old record.
TEST(Replication, ReplacesALostDiskByWayOfALearner) {
  small_group group(kThree);
  group.Run(milliseconds(1000));
  const host_id lost = group.Leader() == &group.At("c") ? host_id("a") : host_id("c");
  group.nodes_.insert_or_assign(lost,
                                HostWithDisk(lost.value(), 9, /*bootstrap=*/false).Seed(9).Build());
  bool changed = false;
  for (int i = 0; i < 100; ++i) {
    group.Run(milliseconds(5));
    const group_configuration& current = group.Leader()->configuration();
    if (changed || !IsLearner(current, lost)) continue;
    changed =
        group.Leader()->ProposeConfiguration({current.voters, {lost, host_id("d")}}, group.Now());
  }
  const group_configuration& repaired = group.Leader()->configuration();
  EXPECT_TRUE(changed);
  EXPECT_TRUE(IsVoter(repaired, lost));
  ASSERT_NE(FindDisk(repaired, lost), nullptr);
  EXPECT_EQ(FindDisk(repaired, lost)->disk, kernel::disk_id(9));
}

// Guards against an isolated leader that goes on proving freshness or accepting proposals.
TEST(Replication, StepsDownWithoutAMajority) {
  small_group group(kThree);
  group.Run(milliseconds(1000));
  node& leader = *group.Leader();
  group.cut_.insert(*leader.leader());
  const kernel::heartbeat_round confirmed = leader.confirmed_round();
  leader.RequestReadIndex(nonce(1), group.Now());
  group.Run(kElectionTimeoutMax + kHeartbeatInterval);
  EXPECT_FALSE(leader.IsLeader());
  EXPECT_EQ(leader.confirmed_round(), confirmed);
  EXPECT_FALSE(leader.Propose(byte_string{"x"}, group.Now()));
  const host_id self = group.cut_.extract(group.cut_.begin()).value();
  ASSERT_EQ(group.reads_[self].size(), 1U);
  EXPECT_FALSE(group.reads_[self][0].index);
}

// Guards against unbounded memory when a majority is gone or a payload is too large to send.
TEST(Replication, RefusesProposalsBeyondItsLimits) {
  small_group group(kThree);
  group.Run(milliseconds(1000));
  node& leader = *group.Leader();
  EXPECT_FALSE(leader.Propose(byte_string{std::string(kMaxPayloadBytes + 1, 'x')}, group.Now()));
  std::uint64_t accepted = 0;
  while (leader.Propose(byte_string{"x"}, group.Now())) ++accepted;
  EXPECT_EQ(accepted, kMaxBacklogEntries);
}

// Guards against messages that the codec refuses, and against a host that missed more than the log
// reaches back for staying behind.
TEST(Replication, CatchesUpByBoundedBatchesAndSnapshotPieces) {
  small_group group(kThree);
  group.Run(milliseconds(1000));
  node& leader = *group.Leader();
  const host_id behind = &leader == &group.At("c") ? host_id("a") : host_id("c");
  const std::string block(kMaxPayloadBytes, 'x');
  group.cut_.insert(behind);
  for (int i = 0; i < 40; ++i) {
    ASSERT_TRUE(leader.Propose(byte_string{block}, group.Now()));
    group.Settle();
  }
  const std::string state(3 * kSnapshotPieceBytes + 1, 's');
  leader.Compact(leader.commit_index(), byte_string{state});
  group.cut_.clear();
  group.Run(milliseconds(200));
  EXPECT_EQ(group.nodes_.at(behind).commit_index(), leader.commit_index());
  EXPECT_EQ(group.loaded_[behind], state);
  EXPECT_EQ(group.pieces_, 4U);
  EXPECT_LE(group.largest_message_, codec::kMaxMessageBytes);
}

// Guards against two majorities that don't share a host, and against voters that hold nothing yet.
TEST(Replication, ChangesOneCaughtUpVoterAtATime) {
  small_group group(kThree);
  group.Run(milliseconds(1000));
  const host_id added("d");
  group.nodes_.emplace(added, HostWithDisk("d", 9, /*bootstrap=*/false).Seed(9).Build());
  const auto propose = [&](group_configuration changed) {
    const bool accepted = group.Leader()->ProposeConfiguration(std::move(changed), group.Now());
    group.Run(milliseconds(300));
    return accepted;
  };
  group_configuration four = kThree;
  four.voters.push_back(added);
  EXPECT_FALSE(propose({{*group.Leader()->leader()}, {}}));
  EXPECT_FALSE(propose(four));
  EXPECT_TRUE(propose({kThree.voters, {added}}));
  EXPECT_TRUE(propose(four));
  for (const auto& [host, member] : group.nodes_) {
    EXPECT_TRUE(IsVoter(member.configuration(), added));
  }
}

// Guards against a group without a leader: the host that alone holds its own removal refuses its
// vote to the other one, so it has to campaign itself.
TEST(Replication, RecoversFromARemovalThatOnlyTheRemovedLeaderHolds) {
  small_group group({{host_id("a"), host_id("b")}, {}});
  group.Run(milliseconds(1000));
  node& removed = *group.Leader();
  const host_id left = &removed == &group.At("a") ? host_id("b") : host_id("a");
  group.cut_.insert(left);
  ASSERT_TRUE(removed.ProposeConfiguration({{left}, {}}, group.Now()));
  group.Run(kElectionTimeoutMax + kHeartbeatInterval);
  ASSERT_FALSE(removed.IsLeader());
  group.cut_.clear();
  group.Run(milliseconds(3000));
  EXPECT_TRUE(group.nodes_.at(left).IsLeader());
}

// Guards against a group that waits for a whole election timeout after all of its hosts started.
TEST(Elections, ElectsALeaderSoonAfterAStart) {
  small_group group(kThree);
  group.Run(milliseconds(5));
  group.Run(std::chrono::duration_cast<milliseconds>(kFirstElectionMax));
  int leaders = 0;
  for (const char* host : {"a", "b", "c"}) leaders += group.At(host).IsLeader() ? 1 : 0;
  EXPECT_EQ(leaders, 1);
}

}  // namespace
}  // namespace cornelweir::replication
