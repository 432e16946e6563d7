#include "cornelweir/replication.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>

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
        for (log_entry& entry : taken.committed) {
          if (entry.kind == entry_kind::kCommand) applied_[host] += entry.payload.bytes;
        }
        for (const read_ready& read : taken.reads) reads_[host].push_back(read);
        for (envelope& sent : taken.messages) {
          if (nodes_.contains(sent.to) && !cut_.contains(sent.to) && !cut_.contains(host)) {
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

}  // namespace
}  // namespace cornelweir::replication
