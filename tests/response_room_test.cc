// Tests of the memory that is kept for the responses of callers.

#include "plugins/sidecar/response_room.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

namespace cornelweir::plugins::sidecar {
namespace {

constexpr std::int64_t kLimit = 40'000'000;
constexpr std::size_t kLargestBody = std::size_t{16} << 20;
const kernel::route_name kRoute("r1");

// NOLINTNEXTLINE(readability-identifier-naming)
class ResponseRoomTest : public ::testing::Test {
 protected:
  static http::whole_response Response(std::size_t bytes) {
    return {200, {}, std::string(bytes, 'x')};
  }
  std::int64_t taken() const { return account_->taken().value(); }

  const std::shared_ptr<memory::memory_account> account_ =
      std::make_shared<memory::memory_account>(kernel::byte_count(kLimit));
  response_room room_{account_, memory::memory_use::kCallerResponses};
};

// Guards against reservations that are far too small for a route, and against a single large
// response that keeps memory from its route for ever.
TEST_F(ResponseRoomTest, ExpectsTheLargestRecentResponse) {
  EXPECT_EQ(room_.Expected(kRoute), kernel::byte_count(64 << 10)) << "while unknown";
  for (const std::size_t bytes : {200, 80'000, 200}) {
    http::whole_response response = Response(bytes);
    ASSERT_TRUE(room_.Admit(kRoute, nullptr, response));
  }
  EXPECT_GT(room_.Expected(kRoute), kernel::byte_count(60'000));
  for (int i = 0; i < 60; ++i) {
    http::whole_response response = Response(200);
    ASSERT_TRUE(room_.Admit(kRoute, nullptr, response));
  }
  EXPECT_LT(room_.Expected(kRoute), kernel::byte_count(300));
  EXPECT_EQ(taken(), 0);
}

// Guards against a response that is not counted, and against one that is counted twice.
TEST_F(ResponseRoomTest, TurnsTheReservationIntoTheHoldOfTheResponse) {
  auto reserved = room_.Reserve(kRoute);
  ASSERT_TRUE(reserved);
  EXPECT_EQ(taken(), 64 << 10);
  http::whole_response response = Response(1'000'000);
  ASSERT_TRUE(room_.Admit(kRoute, std::move(reserved), response));
  EXPECT_EQ(taken(), 1'000'000);
  reserved = room_.Reserve(kRoute);
  ASSERT_TRUE(reserved);
  EXPECT_EQ(taken(), 2'000'000);
  http::whole_response held = Response(500'000);
  held.hold =
      std::make_shared<memory::memory_hold>(account_, memory::memory_use::kUpstreamResponses);
  ASSERT_TRUE(held.hold->Resize(kernel::byte_count(500'000)));
  ASSERT_TRUE(room_.Admit(kRoute, std::move(reserved), held));
  EXPECT_EQ(taken(), 1'500'000);
  EXPECT_EQ(account_->taken(memory::memory_use::kCallerResponses), kernel::byte_count(1'500'000));
  response = held = Response(0);
  EXPECT_EQ(taken(), 0);
}

// Guards against responses beyond the account, and against a hold of one that was dropped.
TEST_F(ResponseRoomTest, DropsAResponseThatDoesNotFit) {
  memory::memory_hold others(account_, memory::memory_use::kLinkTransfers);
  ASSERT_TRUE(others.Resize(kernel::byte_count(kLimit * 80 / 100)));
  auto reserved = room_.Reserve(kRoute);
  ASSERT_TRUE(reserved) << "small requests have a reserve";
  http::whole_response response = Response(kLargestBody);
  EXPECT_FALSE(room_.Admit(kRoute, std::move(reserved), response));
  EXPECT_EQ(taken(), others.bytes().value());
  EXPECT_FALSE(room_.Reserve(kRoute)) << "a large response is expected now";
}

// Guards against a response of the largest size that is never served again, because its reservation
// and the hold that it arrives with do not fit together.
TEST_F(ResponseRoomTest, HasRoomForTheLargestResponseBesideItsReservation) {
  const auto smallest =
      std::make_shared<memory::memory_account>(memory::memory_account::LimitFor(64));
  response_room room(smallest, memory::memory_use::kCallerResponses);
  for (int i = 0; i < 2; ++i) {
    auto reserved = room.Reserve(kRoute);
    ASSERT_TRUE(reserved);
    http::whole_response response = Response(kLargestBody);
    response.hold =
        std::make_shared<memory::memory_hold>(smallest, memory::memory_use::kLinkTransfers);
    ASSERT_TRUE(response.hold->Resize(kernel::byte_count(kLargestBody))) << i;
    ASSERT_TRUE(room.Admit(kRoute, std::move(reserved), response));
  }
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
