// Tests in which order large request bodies arrive, how much of them is on the way, and which ones
// are refused.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <vector>

#include "cornelweir/admission.h"

namespace cornelweir::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kSlowLink = 750'000;
constexpr std::size_t kBodyBytes = 60'000;

// A host whose link has a fixed rate, and the senders of the bodies that it receives.
class link_model {
 public:
  explicit link_model(double bytes_per_second, milliseconds round_trip = milliseconds(2))
      : bytes_per_second_(bytes_per_second), round_trip_(round_trip) {}

  bool Announce(int id, milliseconds objective, milliseconds deadline, std::int32_t priority = 0) {
    transfer_request request;
    request.id = transfer_id(static_cast<std::uint64_t>(id));
    request.bytes = kBodyBytes;
    request.priority = priority;
    request.objective = now + objective;
    request.deadline = now + deadline;
    return transfers.Announce(request, now);
  }

  void SendCredit() {
    for (const transfer_credit& credit : transfers.Grant(now)) {
      granted[credit.id] += credit.bytes;
      if (stalled == credit.id) continue;
      const auto transmission_time = kernel::microseconds(
          static_cast<std::int64_t>(1e6 * static_cast<double>(credit.bytes) / bytes_per_second_));
      const kernel::time_point sent_at = now + round_trip_;
      free_at_ = std::max(free_at_, sent_at) + transmission_time;
      longest_delay = std::max<kernel::microseconds>(longest_delay, free_at_ - sent_at);
      pieces_.push_back({credit, free_at_});
    }
  }

  // Runs until the bodies are complete or the time has passed.
  void Run(kernel::microseconds duration) {
    const kernel::time_point end = now + duration;
    SendCredit();
    while (now < end && !transfers.empty()) {
      now = std::min(end, now + milliseconds(20));
      if (!pieces_.empty() && pieces_.front().arrives_at <= now) {
        const piece next = pieces_.front();
        pieces_.pop_front();
        now = next.arrives_at;
        arrived_bytes += next.credit.bytes;
        if (transfers.OnArrived(next.credit.id, next.credit.bytes, now) ==
            transfer_progress::kComplete) {
          completed.push_back(static_cast<int>(next.credit.id.value()));
        }
      }
      SendCredit();
    }
  }

  // Measures the rate of the link with a few bodies.
  void Warm() {
    for (int id = 1'000; id < 1'010; ++id) Announce(id, seconds(100), seconds(100));
    Run(seconds(10));
    completed.clear();
    longest_delay = {};
    arrived_bytes = 0;
  }

  inbound_transfers transfers;
  kernel::time_point now{seconds(100)};
  std::map<transfer_id, std::size_t> granted;
  std::vector<int> completed;
  std::size_t arrived_bytes = 0;
  kernel::microseconds longest_delay{};
  // A sender that does not use its credit; 0 is none.
  transfer_id stalled;

 private:
  struct piece {
    transfer_credit credit;
    kernel::time_point arrives_at;
  };

  double bytes_per_second_;
  milliseconds round_trip_;
  kernel::time_point free_at_{};
  std::deque<piece> pieces_;
};

// Guards against small messages that wait behind bodies, from the first body on, and against a link
// that idles between the pieces.
TEST(InboundTransfers, KeepsASlowLinkBusyWithAShortQueue) {
  link_model link(kSlowLink);
  for (int id = 1; id <= 50; ++id) EXPECT_TRUE(link.Announce(id, seconds(10), seconds(10)));
  link.Run(seconds(2));
  EXPECT_LE(link.longest_delay, milliseconds(40));
  EXPECT_GE(static_cast<double>(link.arrived_bytes), 0.93 * 2 * kSlowLink);
  EXPECT_NEAR(link.transfers.bytes_per_second(), kSlowLink, 0.05 * kSlowLink);
}

// Guards against a link that idles because the credit does not cover slow answers of the senders.
TEST(InboundTransfers, KeepsTheLinkBusyIfSendersAnswerSlowly) {
  link_model link(kSlowLink, milliseconds(20));
  for (int id = 1; id <= 100; ++id) link.Announce(id, seconds(100), seconds(100));
  link.Run(seconds(2));
  link.arrived_bytes = 0;
  link.Run(seconds(2));
  EXPECT_GE(static_cast<double>(link.arrived_bytes), 0.9 * 2 * kSlowLink);
  EXPECT_LE(link.longest_delay, milliseconds(100));
}

// Guards against a fast link that is limited by the credit for a slow one.
TEST(InboundTransfers, UsesAFastLink) {
  link_model link(125e6);
  for (int id = 1; id <= 500; ++id) link.Announce(id, seconds(10), seconds(10));
  link.Run(seconds(1));
  EXPECT_TRUE(link.transfers.empty());
  EXPECT_GT(link.transfers.CreditWindow(), std::size_t{512} << 10);
}

// Guards against bodies that are served in the order of arrival, so that urgent ones are late, and
// against link time spent on bodies that are late anyway while others could be in time.
TEST(InboundTransfers, ServesByPriorityThenWhetherInTimeThenObjective) {
  link_model link(kSlowLink);
  link.Warm();
  EXPECT_TRUE(link.Announce(1, milliseconds(50), seconds(5))) << "late, but not too late";
  EXPECT_TRUE(link.Announce(2, milliseconds(900), seconds(5)));
  EXPECT_TRUE(link.Announce(3, milliseconds(300), seconds(5)));
  EXPECT_TRUE(link.Announce(4, milliseconds(200), seconds(5), 1));
  EXPECT_TRUE(link.Announce(6, milliseconds(-10), seconds(6)));
  EXPECT_TRUE(link.Announce(5, milliseconds(800), seconds(5)));
  link.Run(seconds(5));
  EXPECT_EQ(link.completed, (std::vector<int>{3, 5, 2, 1, 6, 4}));
}

// Guards against sending bodies that arrive too late. 20 bodies of 80 ms each arrive within 1.6 s.
TEST(InboundTransfers, RefusesBodiesThatMissTheirDeadlinesBeforeTheyAreSent) {
  link_model link(kSlowLink);
  link.Warm();
  for (int id = 1; id <= 20; ++id) EXPECT_TRUE(link.Announce(id, seconds(2), seconds(3)));
  EXPECT_NEAR(static_cast<double>(link.transfers.DrainTime().count()), 1.6e6, 0.1e6);
  EXPECT_FALSE(link.Announce(30, seconds(4), milliseconds(1'500)));
  EXPECT_EQ(link.transfers.missing_bytes(), 20 * kBodyBytes);
  link.SendCredit();
  EXPECT_EQ(link.granted.count(transfer_id(30)), 0U);
  // A more urgent body displaces none: all of them still meet their deadlines.
  EXPECT_TRUE(link.Announce(31, milliseconds(100), milliseconds(200)));
  EXPECT_TRUE(link.transfers.Expire(link.now).empty());
  // Without arrivals for 2 s the last ones cannot meet theirs. What has begun may still end.
  link.now += seconds(2);
  const auto expired = link.transfers.Expire(link.now);
  EXPECT_GE(expired.size(), 8U);
  EXPECT_EQ(std::count(expired.begin(), expired.end(), transfer_id(1)), 0);
}

// Guards against uploads that wait behind others although another host has time for them, and
// against a rate that was measured too low and refuses every body from then on.
TEST(InboundTransfers, RefusesALateBodyThatHasAnAlternative) {
  link_model link(kSlowLink);
  link.Warm();
  transfer_request late;
  late.id = transfer_id(1);
  late.bytes = kBodyBytes;
  late.objective = link.now + milliseconds(50);
  late.deadline = link.now + milliseconds(75);
  late.has_alternative = true;
  EXPECT_FALSE(link.transfers.Announce(late, link.now));
  late.deadline += seconds(1);
  EXPECT_FALSE(link.transfers.Announce(late, link.now));
  late.has_alternative = false;
  EXPECT_TRUE(link.transfers.Announce(late, link.now));
  link.transfers.Remove(late.id);
  link.now += kMaxRateAge + milliseconds(1);
  EXPECT_TRUE(link.Announce(2, milliseconds(10), milliseconds(20))) << "by an outdated rate";
}

// Guards against a paused sender that keeps the link idle for the others, and against unbounded
// credit for many such senders.
TEST(InboundTransfers, GrantsTheCreditOfAStalledSenderToOthers) {
  link_model link(kSlowLink);
  link.Warm();
  link.stalled = transfer_id(1);
  link.Announce(1, milliseconds(200), seconds(60));
  for (int id = 2; id < 6; ++id) link.Announce(id, seconds(1), seconds(60));
  link.Run(seconds(1));
  EXPECT_EQ(link.completed, (std::vector<int>{2, 3, 4, 5}));
  EXPECT_LE(link.transfers.outstanding_bytes(), link.granted[transfer_id(1)]);
  const std::size_t late_bytes = link.granted[transfer_id(1)];
  EXPECT_EQ(link.transfers.OnArrived(transfer_id(1), late_bytes, link.now),
            transfer_progress::kPartial);
  EXPECT_EQ(link.transfers.outstanding_bytes(), 0U);

  link_model paused(kSlowLink);
  paused.Warm();
  for (int id = 1; id < 40; ++id) paused.Announce(id, seconds(50), seconds(60));
  for (int step = 0; step < 100; ++step) {
    paused.transfers.Grant(paused.now);
    paused.now += milliseconds(20);
  }
  EXPECT_LE(paused.transfers.outstanding_bytes(),
            kMaxCreditFactor * paused.transfers.CreditWindow());
}

// Guards against credit and memory that stay in use after a cancelled request, and against senders
// that exceed their credit.
TEST(InboundTransfers, ReleasesTheCreditOfACancelledBody) {
  link_model link(kSlowLink);
  link.Announce(1, seconds(5), seconds(5));
  link.Announce(2, seconds(6), seconds(6));
  link.SendCredit();
  const std::size_t granted = link.granted[transfer_id(1)];
  EXPECT_EQ(link.transfers.OnArrived(transfer_id(1), granted + 1, link.now),
            transfer_progress::kBeyondCredit);
  link.transfers.Remove(transfer_id(1));
  EXPECT_EQ(link.transfers.OnArrived(transfer_id(1), 1, link.now), transfer_progress::kUnknown);
  EXPECT_EQ(link.transfers.outstanding_bytes(), 0U);
  link.SendCredit();
  EXPECT_EQ(link.granted[transfer_id(2)], granted);
  EXPECT_EQ(link.transfers.missing_bytes(), kBodyBytes);
}

}  // namespace
}  // namespace cornelweir::admission
