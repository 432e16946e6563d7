// Tests which large responses a host sends first and which it gives up, without a network.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "cornelweir/admission.h"

namespace cornelweir::admission {
namespace {

using std::chrono::milliseconds;

constexpr double kBytesPerSecond = 100'000;
const kernel::time_point kNow{std::chrono::seconds(100)};

// NOLINTNEXTLINE(readability-identifier-naming)
class OutboundResponsesTest : public ::testing::Test {
 protected:
  transfer_id Add(std::size_t bytes, bool may_be_dropped = true,
                  milliseconds deadline = milliseconds(5'000)) {
    const transfer_id id(++last_id_);
    responses_.Add({id, bytes, 0, kNow + milliseconds(1'000), kNow + deadline, may_be_dropped});
    return id;
  }

  std::vector<transfer_id> Plan(kernel::microseconds elapsed = {}) {
    return responses_.Plan(kBytesPerSecond, kNow + elapsed);
  }

  std::optional<transfer_id> Next() const {
    return responses_.Next([](transfer_id) { return true; });
  }

  outbound_responses responses_;
  std::uint64_t last_id_ = 0;
};

// Guards against a long response that takes the link for the time of several short ones.
TEST_F(OutboundResponsesTest, SendsTheLargestNumberInTime) {
  const transfer_id longest = Add(90'000);
  const transfer_id first = Add(40'000);
  const transfer_id second = Add(50'000);
  EXPECT_TRUE(Plan().empty());
  EXPECT_EQ(Next(), first);
  responses_.OnSent(first, 40'000, kNow);
  EXPECT_EQ(Next(), second);
  responses_.OnSent(second, 50'000, kNow);
  EXPECT_EQ(Next(), longest);
}

// Guards against dropping responses that a burst has delayed, although their callers still wait.
TEST_F(OutboundResponsesTest, KeepsLateResponsesOfABurst) {
  for (int i = 0; i < 4; ++i) Add(95'000);
  EXPECT_TRUE(Plan().empty());
}

// Guards against callers that wait for a response that can't be sent before their deadline.
TEST_F(OutboundResponsesTest, GivesUpWhatCannotBeSentInTime) {
  for (int i = 0; i < 5; ++i) Add(95'000);
  const transfer_id hopeless = Add(95'000);
  EXPECT_EQ(Plan(), std::vector{hopeless});
}

// Guards against callers that wait until their deadline because there are always others to be sent
// in time. One late response is kept all the same.
TEST_F(OutboundResponsesTest, GivesUpLateResponsesInAStandingQueue) {
  const transfer_id kept = Add(95'000);
  Add(60'000);
  EXPECT_TRUE(Plan().empty());
  const transfer_id late = Add(95'000);
  EXPECT_TRUE(Plan().empty());
  EXPECT_EQ(Plan(milliseconds(2'000)), (std::vector<transfer_id>{transfer_id(2), late}));
  EXPECT_EQ(Plan(milliseconds(5'000)), std::vector{kept});
}

// Guards against giving up responses because of one whose receiver takes nothing.
TEST_F(OutboundResponsesTest, PlansWithoutStalledResponses) {
  const transfer_id stalled = Add(480'000);
  Plan();
  responses_.OnSent(stalled, 8'000, kNow);
  responses_.SetStalled(stalled, true);
  const transfer_id other = Add(90'000);
  Add(90'000);
  EXPECT_TRUE(Plan().empty());
  EXPECT_EQ(Next(), other);
  responses_.SetStalled(stalled, false);
  Plan();
  EXPECT_EQ(Next(), stalled);
}

// Guards against taking the queue of a burst for a standing one, because there was another before.
TEST_F(OutboundResponsesTest, ForgetsAQueueThatHasEnded) {
  const transfer_id earlier = Add(10'000);
  Plan();
  responses_.OnSent(earlier, 10'000, kNow);
  for (int i = 0; i < 3; ++i) Add(60'000);
  EXPECT_TRUE(Plan(milliseconds(2'500)).empty());
}

// Guards against upstreams that work in vain without a limit.
TEST_F(OutboundResponsesTest, LimitsTheResponsesThatAreDropped) {
  EXPECT_TRUE(responses_.MayExceedNetwork(kNow));
  for (int i = 0; i < 12; ++i) Add(480'000);
  EXPECT_GE(Plan().size(), 10U);
  EXPECT_FALSE(responses_.MayExceedNetwork(kNow));
  EXPECT_TRUE(responses_.MayExceedNetwork(kNow + kDropDecayTime * 3));
}

// Guards against bytes that are sent in vain: a response that was begun is sent to its end,
// although shorter ones have arrived since.
TEST_F(OutboundResponsesTest, CompletesWhatItHasBegun) {
  const transfer_id begun = Add(90'000);
  Plan();
  responses_.OnSent(begun, 10'000, kNow);
  Add(40'000);
  Add(40'000);
  Plan();
  EXPECT_EQ(Next(), begun);
}

// Guards against the loss of the response to a request that must not run twice.
TEST_F(OutboundResponsesTest, KeepsResponsesThatMayNotBeDropped) {
  const transfer_id unsafe = Add(480'000, false);
  Add(10'000);
  EXPECT_TRUE(Plan().empty());
  EXPECT_EQ(Next(), unsafe);
  EXPECT_TRUE(Plan(milliseconds(4'900)).empty());
}

// Guards against long responses that are never sent while short ones keep the link busy.
TEST_F(OutboundResponsesTest, SendsALongResponseBesideShortOnes) {
  const transfer_id longest = Add(200'000, true, milliseconds(60'000));
  int short_ones = 0;
  for (milliseconds elapsed{}; elapsed < milliseconds(59'000); elapsed += milliseconds(100)) {
    const transfer_id id(++last_id_);
    const kernel::time_point now = kNow + elapsed;
    responses_.Add({id, 10'000, 0, now + milliseconds(1'000), now + milliseconds(5'000), true});
    Plan(elapsed);
    const auto next = Next();
    if (next == longest) break;
    responses_.OnSent(*next, 10'000, now);
    ++short_ones;
  }
  EXPECT_EQ(Next(), longest);
  EXPECT_GE(short_ones, 100);
}

// Guards against giving up responses while nothing is known of the network.
TEST_F(OutboundResponsesTest, KeepsAllWhileTheRateIsUnknown) {
  for (int i = 0; i < 20; ++i) Add(100'000);
  EXPECT_TRUE(responses_.Plan(0, kNow).empty());
  EXPECT_EQ(responses_.unsent_bytes(), 2'000'000U);
}

}  // namespace
}  // namespace cornelweir::admission
