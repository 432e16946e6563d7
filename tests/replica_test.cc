// Tests the answers to proposals and reads of a control host whose group is played by hand.

#include "plugins/control/replica.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/http_test_support.h"

namespace cornelweir::plugins::control {
namespace {

using replication::envelope;

// Host a of a group of three. The test sends the messages of hosts b and c.
// NOLINTNEXTLINE(readability-identifier-naming)
class ReplicaTest : public ::testing::Test {
 protected:
  ReplicaTest() {
    std::string folder = "/tmp/replica-test-XXXXXX";
    folder_ = ::mkdtemp(folder.data());
    group_.voters = {a_, b_, c_};
    replica::handlers handlers;
    handlers.send = [this](const envelope& message) { sent_.push_back(message); };
    handlers.applied = [](const auto&) {};
    handlers.leadership_changed = [](bool) {};
    handlers.storage_unusable = [](const auto&) { FAIL() << "the data folder can't be used"; };
    storage::store_options options;
    options.bootstrap = true;
    options.check = storage::copy_check::kNone;
    const auto make_node = [this](storage::recovered_state content) {
      return replication::node_builder()
          .Self(a_)
          .Disk(content.disk)
          .Bootstrap(content.bootstrap)
          .Entries(std::move(content.entries))
          .Configuration(group_)
          .Seed(3)
          .Build();
    };
    replica_.emplace(loop_, storage::log_store(folder_, options), make_node, group_,
                     std::move(handlers));
    EXPECT_TRUE(replica_->Open());
    replica_->Start();
  }
  ~ReplicaTest() override {
    replica_->Stop();
    std::filesystem::remove_all(folder_);
  }

  // Grants the votes of b until a is the leader.
  void Elect() {
    while (!replica_->node().IsLeader()) {
      loop_.context().run_one();
      for (const envelope& message : std::exchange(sent_, {})) {
        const auto* request = std::get_if<replication::request_vote>(&message.body);
        if (request == nullptr || message.to != b_) continue;
        const replication::vote granted{request->term, true, request->pre_vote, kernel::disk_id(77),
                                        true};
        replica_->Receive({b_, a_, granted});
      }
    }
  }

  // Host c leads in this term and replaces the log by one entry.
  void FollowC(kernel::term term) {
    replication::append_entries append;
    append.term = term;
    append.entries = {
        replication::log_entry{term, kernel::log_index(1), replication::entry_kind::kNoop, {}}};
    replica_->Receive({c_, a_, append});
  }

  const kernel::host_id a_{"a"};
  const kernel::host_id b_{"b"};
  const kernel::host_id c_{"c"};
  std::string folder_;
  loop::event_loop loop_;
  replication::group_configuration group_;
  std::vector<envelope> sent_;
  std::optional<replica> replica_;
};

// Guards against an operator who gets an error for a change that may be committed, and a rollout
// that stands still: a leader that is deposed and elected again proposes at an index for which an
// earlier proposal still waits, and one of the two is never answered.
TEST_F(ReplicaTest, AnswersEachProposalOnceWhenIndexesAreUsedAgain) {
  std::array<int, 3> answers{};
  const auto propose = [&](std::size_t number) {
    replica_->Propose(
        cornelweir::control::leave_command{kernel::upstream_id("u"), kernel::incarnation(1)},
        [&answers, number](const auto&) { ++answers.at(number); });
  };
  Elect();
  propose(0);
  propose(1);
  FollowC(kernel::term(9));
  sent_.clear();
  Elect();
  propose(2);
  replica_->Stop();
  EXPECT_EQ(answers, (std::array<int, 3>{1, 1, 1}));
}

// Guards against an operator's read, and a proof for a daemon, that wait for ever: the leader has
// told the index that they need, and the entries up to it never come.
TEST_F(ReplicaTest, FailsAReadWhoseEntriesDoNotCome) {
  FollowC(kernel::term(9));
  std::optional<bool> is_current;
  replica_->Read([&](bool result) { is_current = result; });
  http::RunUntil(loop_, [&] {
    for (const envelope& message : std::exchange(sent_, {})) {
      const auto* request = std::get_if<replication::read_index>(&message.body);
      if (request == nullptr) continue;
      const replication::read_index_reply reply{request->request, kernel::log_index(5)};
      replica_->Receive({c_, a_, reply});
    }
    return is_current.has_value();
  });
  EXPECT_FALSE(*is_current);
}

}  // namespace
}  // namespace cornelweir::plugins::control
