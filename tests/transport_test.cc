#include "cornelweir/transport.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <iterator>
#include <string>
#include <vector>

namespace cornelweir::transport {
namespace {

// An echo server and a client on one event loop.
// NOLINTNEXTLINE(readability-identifier-naming)
class LinkTest : public ::testing::Test {
 protected:
  void Listen() {
    link_handlers handlers;
    handlers.message = [](const std::shared_ptr<link>& sender, std::string_view payload) {
      sender->Send(std::string(payload));
    };
    auto opened = listener::Open(context_, kernel::endpoint("127.0.0.1:0"), nullptr, handlers);
    ASSERT_TRUE(opened);
    listener_ = opened.value();
  }

  std::shared_ptr<link> Connect(link_handlers handlers) {
    return link::Connect(context_, listener_->local_endpoint(), nullptr, std::move(handlers));
  }

  boost::asio::io_context context_{1};
  std::shared_ptr<listener> listener_;
};

// Guards against messages that are split, truncated at a null byte or reordered.
TEST_F(LinkTest, CarriesWholeMessagesInOrder) {
  Listen();
  std::vector<std::string> received;
  const std::string large(200'000, 'x');
  link_handlers handlers;
  handlers.opened = [&](const std::shared_ptr<link>& self) {
    self->Send("first");
    self->Send(large);
    self->Send(std::string("\0last", 5));
  };
  handlers.message = [&](const std::shared_ptr<link>& self, std::string_view payload) {
    received.emplace_back(payload);
    if (received.size() == 3) self->Close("done");
  };
  handlers.closed = [&](const std::shared_ptr<link>&, const std::string&) { listener_->Close(); };
  Connect(handlers);
  context_.run();
  ASSERT_EQ(received.size(), 3U);
  EXPECT_EQ(received[0], "first");
  EXPECT_EQ(received[1], large);
  EXPECT_EQ(received[2], std::string("\0last", 5));
}

// Guards against an owner that waits forever because a failed connect was not reported.
TEST_F(LinkTest, ReportsARefusedConnectionOnce) {
  Listen();
  const kernel::endpoint closed_endpoint = listener_->local_endpoint();
  listener_->Close();
  context_.run();
  context_.restart();
  int closed_count = 0;
  link_handlers handlers;
  handlers.closed = [&](const std::shared_ptr<link>&, const std::string&) { ++closed_count; };
  link::Connect(context_, closed_endpoint, nullptr, handlers);
  context_.run();
  EXPECT_EQ(closed_count, 1);
}

// The number of descriptors that this process has open.
std::ptrdiff_t OpenDescriptors() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
}

// Guards against a process that runs out of descriptors while hosts are unreachable: the socket of
// an abandoned attempt stays open until the system gives up the attempt, minutes later.
TEST_F(LinkTest, ClosesTheSocketOfAnAbandonedAttempt) {
  using boost::asio::ip::tcp;
  // A listener with a full queue, so that further attempts get no answer.
  tcp::acceptor unresponsive(context_, tcp::v4());
  unresponsive.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  unresponsive.listen(0);
  std::vector<tcp::socket> queued;
  for (int i = 0; i < 4; ++i) {
    queued.emplace_back(context_);
    queued.back().async_connect(unresponsive.local_endpoint(), [](const auto&) {});
  }
  const kernel::endpoint remote("127.0.0.1:" +
                                std::to_string(unresponsive.local_endpoint().port()));
  const std::ptrdiff_t open_before = OpenDescriptors();
  constexpr int kAttempts = 10;
  int closed_count = 0;
  link_handlers handlers;
  handlers.closed = [&](const std::shared_ptr<link>&, const std::string&) { ++closed_count; };
  for (int i = 0; i < kAttempts; ++i) {
    link::Connect(context_, remote, nullptr, handlers)->Close("abandoned");
  }
  while (closed_count < kAttempts) context_.run_one();
  EXPECT_EQ(OpenDescriptors(), open_before);
}

// Guards against a loop that spins while the process has no free file descriptors, and against a
// listener that stays deaf when it has some again.
TEST_F(LinkTest, WaitsForFreeFileDescriptorsWithoutSpinning) {
  Listen();
  bool opened = false;
  link_handlers handlers;
  handlers.opened = [&](const std::shared_ptr<link>& self) {
    opened = true;
    self->Close("done");
  };
  handlers.closed = [&](const std::shared_ptr<link>&, const std::string&) { listener_->Close(); };
  Connect(handlers);
  rlimit before{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit none_free = before;
  // The lowest free descriptor; all descriptors from it on are above the limit.
  const int lowest_free = ::dup(0);
  ASSERT_GE(lowest_free, 0);
  ::close(lowest_free);
  none_free.rlim_cur = static_cast<rlim_t>(lowest_free);
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none_free), 0);
  constexpr std::size_t kManyHandlers = 100;
  std::size_t handlers_run = 0;
  while (handlers_run < kManyHandlers && context_.poll_one() > 0) ++handlers_run;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_LT(handlers_run, kManyHandlers);
  context_.restart();
  context_.run();
  EXPECT_TRUE(opened);
}

// Guards against unbounded buffering of a message above the size limit.
TEST_F(LinkTest, ClosesOnAMessageAboveTheLimit) {
  Listen();
  bool closed = false;
  link_handlers handlers;
  handlers.opened = [](const std::shared_ptr<link>& self) {
    self->Send(std::string(kMaxMessageBytes + 1, 'x'));
  };
  handlers.closed = [&](const std::shared_ptr<link>&, const std::string&) {
    closed = true;
    listener_->Close();
  };
  Connect(handlers);
  context_.run();
  EXPECT_TRUE(closed);
}

// Guards against a process that stops and loses the messages it has just queued: closing a socket
// whose received bytes are unread resets the connection and discards what the peer has not read.
TEST_F(LinkTest, DeliversQueuedMessagesBeforeADrainedLinkCloses) {
  constexpr std::size_t kMessages = 40;
  const std::string large(200'000, 'x');
  link_handlers server;
  server.message = [&](const std::shared_ptr<link>& self, std::string_view) {
    for (std::size_t i = 0; i < kMessages; ++i) self->Send(large);
    listener_->CloseAfterDrain([] {});
  };
  auto opened = listener::Open(context_, kernel::endpoint("127.0.0.1:0"), nullptr, server);
  ASSERT_TRUE(opened);
  listener_ = opened.value();
  std::size_t received = 0;
  bool closed = false;
  link_handlers handlers;
  handlers.opened = [](const std::shared_ptr<link>& self) { self->Send("begin"); };
  handlers.message = [&](const std::shared_ptr<link>& self, std::string_view) {
    ++received;
    // The server does not read these any more.
    self->Send("probe");
  };
  handlers.closed = [&](const std::shared_ptr<link>&, const std::string&) { closed = true; };
  Connect(handlers);
  context_.run();
  EXPECT_TRUE(closed);
  EXPECT_EQ(received, kMessages);
}

// Guards against a process that waits forever for a peer that does not close its side.
TEST_F(LinkTest, ClosesADrainedLinkWhosePeerDoesNotRead) {
  Listen();
  bool drained = false;
  boost::asio::ip::tcp::endpoint address;
  ASSERT_TRUE(ParseEndpoint(listener_->local_endpoint(), address));
  boost::asio::ip::tcp::socket silent(context_);
  silent.connect(address);
  context_.run_one();
  listener_->CloseAfterDrain([&] { drained = true; });
  context_.run();
  EXPECT_TRUE(drained);
}

}  // namespace
}  // namespace cornelweir::transport
