// Tests of the transfer of large bodies to other daemons.

#include "plugins/sidecar/bulk_sender.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "cornelweir/memory.h"
#include "plugins/sidecar/data_frame.h"
#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {
namespace {

constexpr std::size_t kBodyBytes = std::size_t{1} << 20;
const kernel::call_id kCall(7);

// NOLINTNEXTLINE(readability-identifier-naming)
class BulkSenderTest : public ::testing::Test {
 protected:
  BulkSenderTest() {
    transport::link_handlers receiving;
    receiving.message = [this](const std::shared_ptr<transport::link>&, std::string_view bytes) {
      const auto frame = ReadData(bytes);
      ASSERT_TRUE(frame);
      const auto* piece = std::get_if<protocol::body_piece>(&frame->message);
      if (piece == nullptr) {
        ++other_messages_;
        return;
      }
      received_.append(frame->payload);
      received_last_ = piece->last;
      if (acknowledges_) sender_.OnPieceAcknowledged(link_.get());
    };
    auto opened = transport::listener::Open(daemon_.loop.context(), kernel::endpoint("127.0.0.1:0"),
                                            nullptr, receiving);
    EXPECT_TRUE(opened);
    listener_ = opened.value();
    link_ =
        transport::link::Connect(daemon_.loop.context(), listener_->local_endpoint(), nullptr, {});
    http::RunUntil(daemon_.loop, [this] { return link_->is_open(); });
  }
  ~BulkSenderTest() override { listener_->Close(); }

  memory::memory_account& account() { return *daemon_.context.memory; }
  // Takes a part of the account for as long as the returned hold exists.
  std::unique_ptr<memory::memory_hold> TakePercent(memory::memory_use use, std::int64_t percent) {
    auto hold = std::make_unique<memory::memory_hold>(daemon_.context.memory, use);
    EXPECT_TRUE(hold->Resize(kernel::byte_count(account().limit().value() * percent / 100)));
    return hold;
  }
  // The body of a response that counts in given_up when it is given up.
  static bulk_sender::response_body Body(std::size_t bytes, int& given_up) {
    bulk_sender::response_body body;
    body.bytes = std::string(bytes, 'x');
    body.on_given_up = [&given_up] { ++given_up; };
    return body;
  }

  sidecar_test_context daemon_;
  bulk_sender sender_{daemon_.context};
  std::shared_ptr<transport::listener> listener_;
  std::shared_ptr<transport::link> link_;
  std::string received_;
  bool acknowledges_ = true;
  bool received_last_ = false;
  int other_messages_ = 0;
};

// Guards against corrupted or incomplete bodies.
TEST_F(BulkSenderTest, DeliversTheWholeBody) {
  std::string body(kBodyBytes, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) body[i] = static_cast<char>(i % 251);
  sender_.Send(link_, kCall, {body});
  http::RunUntil(daemon_.loop, [this] { return received_last_; });
  EXPECT_TRUE(received_ == body);
  EXPECT_TRUE(sender_.idle());
}

// Guards against small messages that wait behind a whole body. The receiver acknowledges nothing,
// so only a part of the body may be sent.
TEST_F(BulkSenderTest, SendsSmallMessagesWhilePiecesAreUnacknowledged) {
  acknowledges_ = false;
  sender_.Send(link_, kCall, {std::string(kBodyBytes, 'x')});
  SendData(*link_, protocol::link_probe{kernel::nonce(1)});
  http::RunUntil(daemon_.loop, [this] { return other_messages_ == 1; });
  EXPECT_GT(received_.size(), 0U);
  EXPECT_LT(received_.size(), kBodyBytes / 4);
  EXPECT_FALSE(sender_.idle());
}

// Guards against sending the rest of a response that was cancelled or whose link was closed.
TEST_F(BulkSenderTest, DropsCancelledAndClosedTransfers) {
  acknowledges_ = false;
  sender_.Send(link_, kCall, {std::string(kBodyBytes, 'x')});
  sender_.Cancel(link_.get(), kCall);
  EXPECT_TRUE(sender_.idle());
  sender_.Send(link_, kCall, {std::string(kBodyBytes, 'x')});
  sender_.OnClosed(link_.get());
  EXPECT_TRUE(sender_.idle());
}

// Guards against granted request bodies that wait behind responses, and against bytes beyond the
// credit.
TEST_F(BulkSenderTest, SendsGrantedRequestBodiesFirst) {
  acknowledges_ = false;
  bool sent = false;
  const kernel::call_id request(8);
  sender_.SendOnCredit(link_, request, std::make_shared<const std::string>(20'000, 'r'),
                       [&] { sent = true; });
  sender_.AddCredit(link_.get(), request, 9'000);
  sender_.Send(link_, kCall, {std::string(kBodyBytes, 'x')});
  http::RunUntil(daemon_.loop, [this] { return received_.find('x') != std::string::npos; });
  EXPECT_EQ(received_.find('x'), 9'000U);
  EXPECT_FALSE(sent);
  sender_.AddCredit(link_.get(), request, 1'000'000);
  EXPECT_FALSE(sent) << "sent beyond the window";
  received_.clear();
  acknowledges_ = true;
  for (int i = 0; i < 6; ++i) sender_.OnPieceAcknowledged(link_.get());
  EXPECT_TRUE(sent);
  http::RunUntil(daemon_.loop, [this] { return sender_.idle(); });
  EXPECT_EQ(std::count(received_.begin(), received_.end(), 'r'), 11'000);
}

// Guards against responses that are kept for a receiver after it has stopped waiting for them.
TEST_F(BulkSenderTest, GivesUpAResponseAtItsDeadline) {
  acknowledges_ = false;
  int given_up = 0;
  bulk_sender::response_body body = Body(kBodyBytes, given_up);
  body.deadline = daemon_.clock.Now() + std::chrono::milliseconds(50);
  EXPECT_TRUE(sender_.Send(link_, kCall, std::move(body)));
  EXPECT_EQ(account().taken(memory::memory_use::kLinkTransfers),
            kernel::byte_count(static_cast<std::int64_t>(kBodyBytes)));
  http::RunUntil(daemon_.loop, [&] { return given_up == 1; });
  EXPECT_TRUE(sender_.idle());
  EXPECT_EQ(account().taken(), kernel::byte_count(0));
}

// Guards against responses for a paused daemon that take the memory that others need. The receiver
// that has been stalled for longest gives way first, and nobody does while there is memory.
TEST_F(BulkSenderTest, GivesUpResponsesForStalledReceiversWhileMemoryIsScarce) {
  acknowledges_ = false;
  const auto other_link =
      transport::link::Connect(daemon_.loop.context(), listener_->local_endpoint(), nullptr, {});
  http::RunUntil(daemon_.loop, [&] { return other_link->is_open(); });
  constexpr std::size_t kLargeBytes = std::size_t{20} << 20;
  int given_up = 0;
  int given_up_later = 0;
  EXPECT_TRUE(sender_.Send(link_, kCall, Body(kLargeBytes, given_up)));
  // Its pieces are sent when those of the first receiver have left the window.
  EXPECT_TRUE(sender_.Send(other_link, kCall, Body(kLargeBytes, given_up_later)));
  EXPECT_FALSE(account().IsScarce());
  const auto taken = TakePercent(memory::memory_use::kCallerResponses, 10);
  EXPECT_TRUE(account().IsScarce());
  http::RunUntil(daemon_.loop, [&] { return given_up == 1; });
  EXPECT_EQ(given_up_later, 0);
  EXPECT_FALSE(account().IsScarce());
  const auto more = TakePercent(memory::memory_use::kCallerRequests, 40);
  http::RunUntil(daemon_.loop, [&] { return given_up_later == 1; });
  EXPECT_TRUE(sender_.idle());
  EXPECT_EQ(account().taken(memory::memory_use::kLinkTransfers), kernel::byte_count(0));
}

// Guards against responses that are queued without room for them, and against counting those twice
// that are counted already.
TEST_F(BulkSenderTest, TakesRoomForAResponse) {
  const auto taken = TakePercent(memory::memory_use::kCallerResponses, 79);
  const auto more = TakePercent(memory::memory_use::kCallerRequests, 8);
  int given_up = 0;
  EXPECT_FALSE(sender_.Send(link_, kCall, Body(kBodyBytes, given_up)));
  EXPECT_TRUE(sender_.idle());
  EXPECT_EQ(given_up, 0);
  more->Resize(kernel::byte_count(0));
  bulk_sender::response_body body = Body(kBodyBytes, given_up);
  body.hold = std::make_shared<memory::memory_hold>(daemon_.context.memory,
                                                    memory::memory_use::kUpstreamResponses);
  EXPECT_TRUE(body.hold->Resize(kernel::byte_count(static_cast<std::int64_t>(kBodyBytes))));
  EXPECT_TRUE(sender_.Send(link_, kCall, std::move(body)));
  EXPECT_EQ(account().taken(memory::memory_use::kUpstreamResponses), kernel::byte_count(0));
  EXPECT_EQ(account().taken(memory::memory_use::kLinkTransfers),
            kernel::byte_count(static_cast<std::int64_t>(kBodyBytes)));
  http::RunUntil(daemon_.loop, [this] { return received_last_; });
  EXPECT_EQ(account().taken(memory::memory_use::kLinkTransfers), kernel::byte_count(0));
}

}  // namespace
}  // namespace cornelweir::plugins::sidecar
