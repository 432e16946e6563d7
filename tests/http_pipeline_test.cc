// Tests of the server for pipelined requests.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "cornelweir/memory.h"
#include "cornelweir/src/http/write_progress.h"
#include "tests/http_test_support.h"

namespace cornelweir::http {
namespace {

class pipeline : public ::testing::Test {
 protected:
  pipeline()
      : server_(
            loop_, [this](const auto& request) { requests_.push_back(request); },
            [](status_code status, std::string_view reason) {
              return whole_response{status, {}, std::string(reason)};
            }) {
    EXPECT_TRUE(server_.Listen(kernel::endpoint("127.0.0.1:0")));
    caller_ = raw_peer::Connect(loop_, server_.local_endpoint());
  }

  void Send(const std::string& text) { caller_->Send(text); }
  void AwaitRequests(std::size_t count) {
    RunUntil(loop_, [&] { return requests_.size() >= count; });
  }
  void AwaitText(const std::string& text) {
    RunUntil(loop_, [&] { return caller_->received.find(text) != std::string::npos; });
  }

  // How often the caller has received a text.
  int CountOf(const std::string& text) const {
    int count = 0;
    for (std::size_t at = 0; (at = caller_->received.find(text, at)) != std::string::npos;
         ++count) {
      at += text.size();
    }
    return count;
  }

  loop::event_loop loop_;
  std::vector<std::shared_ptr<pipeline_request>> requests_;
  pipeline_server server_;
  std::shared_ptr<raw_peer> caller_;
};

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// Guards against requests that are dispatched only after earlier ones are answered, and against
// responses out of request order.
TEST_F(pipeline, DispatchesImmediatelyAndRespondsInOrder) {
  Send(Get("/1") + Get("/2"));
  AwaitRequests(2);
  requests_[1]->Respond({200, {}, "second"});
  requests_[0]->Respond({200, {}, "first"});
  AwaitText("second");
  EXPECT_LT(caller_->received.find("first"), caller_->received.find("second"));
}

// Guards against upstreams that work for disconnected callers, also for later pipelined requests.
TEST_F(pipeline, DetectsADisconnectedCaller) {
  Send(Get("/1") + Get("/2"));
  AwaitRequests(2);
  int disconnect_callbacks = 0;
  for (const auto& request : requests_) request->OnCallerGone([&] { ++disconnect_callbacks; });
  caller_->Close();
  RunUntil(loop_, [&] { return disconnect_callbacks == 2; });
  requests_[0]->Respond({200, {}, "late"});
}

// Guards against a body after the response to HEAD, which the caller would parse as the next
// response, also if the handler has moved from the request.
TEST_F(pipeline, AnswersHeadWithoutABody) {
  Send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + Get("/2"));
  AwaitRequests(2);
  const whole_request moved_request = std::move(requests_[0]->message);
  requests_[0]->Respond({503, {}, "no body here"});
  requests_[1]->Respond({200, {}, "second"});
  AwaitText("second");
  EXPECT_EQ(caller_->received.find("no body here"), std::string::npos);
}

// Guards against a wrong end of a body, whose remaining bytes would be parsed as a request.
TEST_F(pipeline, ReadsBodiesWithLengthAndInChunks) {
  Send(
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n" +
      Get("/3"));
  AwaitRequests(3);
  EXPECT_EQ(requests_[0]->message.body, "abc");
  EXPECT_EQ(requests_[1]->message.body, "def");
  EXPECT_EQ(requests_[2]->message.target, "/3");
}

// Guards against request smuggling, and against a malformed request that affects earlier ones.
TEST_F(pipeline, RefusesAmbiguousFramingAfterTheRequestsBeforeIt) {
  Send(Get("/1") +
       "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n");
  AwaitRequests(1);
  requests_[0]->Respond({200, {}, "good"});
  AwaitText(" 400 ");
  EXPECT_NE(caller_->received.find("good"), std::string::npos);
  EXPECT_NE(caller_->received.find("Connection: close"), std::string::npos);
  EXPECT_EQ(requests_.size(), 1U);
}

// Guards against headers and bodies above the current limits.
TEST_F(pipeline, RefusesRequestsAboveTheLimits) {
  pipeline_limits limits;
  limits.body_bytes = 2;
  server_.SetLimits(limits);
  Send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
  AwaitText(" 413 ");
  const auto other = raw_peer::Connect(loop_, server_.local_endpoint());
  limits.header_bytes = 64;
  server_.SetLimits(limits);
  other->Send("GET /" + std::string(100, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil(loop_, [&] { return other->received.find(" 431 ") != std::string::npos; });
}

// Guards against a shutdown that aborts requests in progress or accepts further ones.
TEST_F(pipeline, DrainsAfterTheRequestsInProgress) {
  Send(Get("/1"));
  AwaitRequests(1);
  bool drained = false;
  server_.BeginDrain([&] { drained = true; });
  requests_[0]->Respond({200, {}, "last"});
  AwaitText("last");
  EXPECT_NE(caller_->received.find("Connection: close"), std::string::npos);
  caller_->Close();
  RunUntil(loop_, [&] { return drained; });
}

// Guards against a planned stop that never tells a caller who keeps requests in progress to close
// its connection, and then cuts the last of them.
TEST_F(pipeline, TellsACallerThatNeverPausesToClose) {
  Send(Get("/1") + Get("/2"));
  AwaitRequests(2);
  server_.DisableKeepAlive();
  Send(Get("/3") + Get("/4"));
  requests_[0]->Respond({200, {}, "first"});
  AwaitText("first");
  Send(Get("/5"));
  EXPECT_EQ(CountOf("Connection: close"), 0) << "requests behind a closing response are unread";
  requests_[1]->Respond({200, {}, "second"});
  AwaitText("second");
  ASSERT_EQ(CountOf("Connection: close"), 1);
  RunUntil(loop_, [&] { return caller_->closed; });
  EXPECT_EQ(CountOf("HTTP/1.1 200"), 2);
  EXPECT_EQ(requests_.size(), 2U) << "a request was taken that nobody will answer";
}

// Guards against a stop that loses requests, or takes more, on a connection with as many requests
// in progress as a connection may have.
TEST_F(pipeline, ClosesAFullConnectionAfterItsRequests) {
  constexpr std::size_t kMaxPipelined = 32;
  constexpr std::size_t kUnread = 8;
  std::string text;
  for (std::size_t i = 0; i < kMaxPipelined + kUnread; ++i) text += Get("/" + std::to_string(i));
  Send(text);
  AwaitRequests(kMaxPipelined);
  server_.DisableKeepAlive();
  for (std::size_t i = 0; i < kMaxPipelined; ++i) requests_[i]->Respond({200, {}, "whole"});
  RunUntil(loop_, [&] { return CountOf("whole") == static_cast<int>(kMaxPipelined); });
  ASSERT_EQ(CountOf("Connection: close"), 1);
  RunUntil(loop_, [&] { return caller_->closed; });
  EXPECT_EQ(requests_.size(), kMaxPipelined);
}

// Guards against an upload that is cut, or that its caller has to send again, because the server
// began to stop after a part of it.
TEST_F(pipeline, TakesARequestOfWhichAPartWasReadWhenTheStopBegan) {
  Send(Get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabc");
  AwaitRequests(1);
  server_.DisableKeepAlive();
  requests_[0]->Respond({200, {}, "first"});
  AwaitText("first");
  EXPECT_EQ(CountOf("Connection: close"), 0);
  Send("def" + Get("/3"));
  AwaitRequests(2);
  EXPECT_EQ(requests_[1]->message.body, "abcdef");
  requests_[1]->Respond({200, {}, "second"});
  AwaitText("second");
  ASSERT_EQ(CountOf("Connection: close"), 1);
  RunUntil(loop_, [&] { return caller_->closed; });
  EXPECT_EQ(requests_.size(), 2U);
}

// Guards against a kept connection without a request in progress that is served without end, or
// whose next request, already on its way, is lost.
TEST_F(pipeline, TakesOneMoreRequestOfAnIdleConnection) {
  Send(Get("/1"));
  AwaitRequests(1);
  requests_[0]->Respond({200, {}, "first"});
  AwaitText("first");
  server_.DisableKeepAlive();
  Send(Get("/2") + Get("/3"));
  AwaitRequests(2);
  requests_[1]->Respond({200, {}, "second"});
  AwaitText("second");
  ASSERT_EQ(CountOf("Connection: close"), 1);
  RunUntil(loop_, [&] { return caller_->closed; });
  EXPECT_EQ(requests_.size(), 2U);
}

// Guards against a response that is cut because the stop began while its caller read it slowly.
TEST_F(pipeline, WritesAResponseToItsEndWhileDraining) {
  constexpr std::size_t kBodyBytes = std::size_t{16} << 20;
  caller_->paused = true;
  Send(Get("/1"));
  AwaitRequests(1);
  const auto idle = raw_peer::Connect(loop_, server_.local_endpoint());
  requests_[0]->Respond({200, {}, std::string(kBodyBytes, 'x')});
  bool drained = false;
  server_.BeginDrain([&] { drained = true; });
  RunUntil(loop_, [&] { return idle->closed; });
  EXPECT_FALSE(drained);
  caller_->paused = false;
  caller_->Read();
  RunUntil(loop_, [&] { return caller_->closed; });
  EXPECT_GT(caller_->received.size(), kBodyBytes);
  RunUntil(loop_, [&] { return drained; });
}

// Guards against a planned stop that cuts off a caller who has just connected: its first request
// may still be on its way when the server stops accepting.
TEST_F(pipeline, ServesTheFirstRequestOfANewConnectionWhileDraining) {
  RunUntil(loop_, [&] { return server_.connections() == 1; });
  bool drained = false;
  server_.BeginDrain([&] { drained = true; });
  Send(Get("/1"));
  AwaitRequests(1);
  requests_[0]->Respond({200, {}, "served"});
  AwaitText("served");
  EXPECT_NE(caller_->received.find("Connection: close"), std::string::npos);
  RunUntil(loop_, [&] { return drained; });
}

// Guards against a planned stop that waits forever for a connection without a request.
TEST_F(pipeline, ClosesANewConnectionWithoutARequestWhileDraining) {
  RunUntil(loop_, [&] { return server_.connections() == 1; });
  bool drained = false;
  server_.BeginDrain([&] { drained = true; });
  RunUntil(loop_, [&] { return caller_->closed; });
  caller_->Close();
  RunUntil(loop_, [&] { return drained; });
}

// Guards against a connection that is accepted, but closed unread when the server stops: it was
// waiting in the queue of the listening socket.
TEST_F(pipeline, ServesAConnectionThatWasWaitingToBeAccepted) {
  auto waiting = raw_peer::Connect(loop_, server_.local_endpoint());
  waiting->Send(Get("/waiting"));
  server_.BeginDrain([] {});
  AwaitRequests(1);
  requests_[0]->Respond({200, {}, "served"});
  RunUntil(loop_, [&] { return waiting->received.find("served") != std::string::npos; });
}

// Guards against unbounded memory for the header of a chunk, which the parser does not limit.
TEST_F(pipeline, RefusesAnEndlessChunkHeader) {
  caller_->repeated = std::string(std::size_t{32} << 10, 'x');
  Send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;extension=");
  AwaitText("HTTP/1.1 400");
  EXPECT_TRUE(requests_.empty());
}

// Guards against unbounded memory for the bodies of many requests, each within its limit.
TEST_F(pipeline, RefusesABodyWhenTooManyBytesAreBuffered) {
  pipeline_limits limits;
  limits.total_body_bytes = std::size_t{1} << 20;
  server_.SetLimits(limits);
  caller_->repeated = "8000\r\n" + std::string(std::size_t{32} << 10, 'x') + "\r\n";
  Send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  AwaitText("HTTP/1.1 503");
  EXPECT_TRUE(requests_.empty());
}

// Guards against unbounded memory for the bodies of requests that wait for their responses.
TEST_F(pipeline, CountsTheBodiesOfUnansweredRequests) {
  pipeline_limits limits;
  limits.total_body_bytes = 150'000;
  server_.SetLimits(limits);
  const std::string post =
      "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'x');
  Send(post);
  AwaitRequests(1);
  const auto other = raw_peer::Connect(loop_, server_.local_endpoint());
  other->Send(post);
  RunUntil(loop_, [&] { return other->received.find("HTTP/1.1 503") != std::string::npos; });
  EXPECT_EQ(requests_.size(), 1U);
  requests_[0]->Respond({200, {}, ""});
  AwaitText("HTTP/1.1 200");
  Send(post);
  AwaitRequests(2);
}

// Guards against unbounded memory for the responses of a caller that sends requests but reads
// nothing.
TEST_F(pipeline, DispatchesNoRequestWhileItsCallerReadsTooLittle) {
  constexpr std::size_t kBodyBytes = std::size_t{16} << 20;
  caller_->paused = true;
  Send(Get("/1"));
  AwaitRequests(1);
  requests_[0]->Respond({200, {}, std::string(kBodyBytes, 'x')});
  Send(Get("/unread"));
  RunUntil(loop_, [&] { return caller_->sent == (Get("/1") + Get("/unread")).size(); });
  // The server has handled earlier input when it serves a later connection.
  const auto other = raw_peer::Connect(loop_, server_.local_endpoint());
  other->Send(Get("/other"));
  AwaitRequests(2);
  ASSERT_EQ(requests_[1]->message.target, "/other");
  requests_[1]->Respond({200, {}, "served"});
  RunUntil(loop_, [&] { return other->received.find("served") != std::string::npos; });
  EXPECT_EQ(requests_.size(), 2U);
  caller_->paused = false;
  caller_->Read();
  AwaitRequests(3);
  EXPECT_EQ(requests_[2]->message.target, "/unread");
  RunUntil(loop_, [&] { return caller_->received.size() > kBodyBytes; });
}

// Guards against unbounded memory for responses that wait until an earlier request is answered.
TEST_F(pipeline, CountsResponsesThatWaitBehindAnother) {
  pipeline_limits limits;
  limits.connection_response_bytes = 100'000;
  server_.SetLimits(limits);
  Send(Get("/1") + Get("/2"));
  AwaitRequests(2);
  requests_[1]->Respond({200, {}, std::string(150'000, 'x')});
  Send(Get("/behind"));
  RunUntil(loop_, [&] { return caller_->sent == (Get("/1") + Get("/2") + Get("/behind")).size(); });
  const auto other = raw_peer::Connect(loop_, server_.local_endpoint());
  other->Send(Get("/other"));
  AwaitRequests(3);
  ASSERT_EQ(requests_[2]->message.target, "/other");
  requests_[2]->Respond({200, {}, "served"});
  RunUntil(loop_, [&] { return other->received.find("served") != std::string::npos; });
  EXPECT_EQ(requests_.size(), 3U);
  requests_[0]->Respond({200, {}, "first"});
  AwaitRequests(4);
  EXPECT_EQ(requests_[3]->message.target, "/behind");
}

// Guards against many large responses of one connection that are requested at a time, and against a
// connection whose end is not detected meanwhile.
TEST_F(pipeline, DispatchesNoRequestWhileLargeResponsesAreExpected) {
  pipeline_limits limits;
  limits.connection_response_bytes = 100'000;
  server_.SetLimits(limits);
  Send(Get("/1"));
  AwaitRequests(1);
  requests_[0]->ExpectResponse(150'000);
  Send(Get("/2"));
  RunUntil(loop_, [&] { return caller_->sent == (Get("/1") + Get("/2")).size(); });
  const auto other = raw_peer::Connect(loop_, server_.local_endpoint());
  other->Send(Get("/other"));
  AwaitRequests(2);
  ASSERT_EQ(requests_[1]->message.target, "/other");
  requests_[1]->ExpectResponse(150'000);
  bool gone = false;
  requests_[1]->OnCallerGone([&] { gone = true; });
  other->Close();
  RunUntil(loop_, [&] { return gone; });
  EXPECT_EQ(requests_.size(), 2U);
  requests_[0]->Respond({200, {}, "small"});
  AwaitRequests(3);
  EXPECT_EQ(requests_[2]->message.target, "/2");
}

// Guards against a request that is refused as late because its connection is not read: its caller
// has not taken an earlier response.
TEST_F(pipeline, GivesARequestItsTimeWhileItsConnectionIsNotRead) {
  constexpr std::size_t kBodyBytes = std::size_t{16} << 20;
  const std::string half = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab";
  pipeline_limits limits;
  limits.body_timeout = kernel::milliseconds(100);
  server_.SetLimits(limits);
  caller_->paused = true;
  Send(Get("/1") + half);
  AwaitRequests(1);
  requests_[0]->Respond({200, {}, std::string(kBodyBytes, 'x')});
  const auto other = raw_peer::Connect(loop_, server_.local_endpoint());
  other->Send(half);
  RunUntil(loop_, [&] { return other->received.find("HTTP/1.1 408") != std::string::npos; });
  Send("cd");
  caller_->paused = false;
  caller_->Read();
  AwaitRequests(2);
  EXPECT_EQ(requests_[1]->message.body, "abcd");
}

// Returns a response of this size, with its hold.
whole_response HeldResponse(const std::shared_ptr<memory::memory_account>& account,
                            std::size_t bytes) {
  whole_response response{200, {}, std::string(bytes, 'x')};
  response.hold =
      std::make_shared<memory::memory_hold>(account, memory::memory_use::kCallerResponses);
  EXPECT_TRUE(response.hold->Resize(kernel::byte_count(static_cast<std::int64_t>(bytes))));
  return response;
}

// Guards against slow readers that keep all memory from ordinary callers, and against closing more
// connections than needed, or those that hold less.
TEST_F(pipeline, ClosesTheSlowReaderThatHoldsMostWhileMemoryIsScarce) {
  constexpr std::size_t kMost = 28'000'000;
  constexpr std::size_t kLess = 15'000'000;
  const auto account = std::make_shared<memory::memory_account>(kernel::byte_count(60'000'000));
  server_.UseMemory(account);
  pipeline_limits limits;
  limits.slow_read_time = kernel::milliseconds(0);
  server_.SetLimits(limits);
  caller_->paused = true;
  Send(Get("/most"));
  AwaitRequests(1);
  requests_[0]->Respond(HeldResponse(account, kMost));
  const auto other = raw_peer::Connect(loop_, server_.local_endpoint());
  other->paused = true;
  other->Send(Get("/less"));
  AwaitRequests(2);
  requests_[1]->Respond(HeldResponse(account, kLess));
  ASSERT_TRUE(account->IsScarce());
  RunUntil(loop_, [&] { return server_.connections() == 1 && !account->IsScarce(); });
  EXPECT_EQ(account->taken(), kernel::byte_count(kLess));
  EXPECT_EQ(server_.slow_readers().scarce_memory, 1U);
  other->paused = false;
  other->Read();
  RunUntil(loop_, [&] { return other->received.size() > kLess; });
  EXPECT_EQ(server_.connections(), 1U);
}

// Guards against a hold that outlives the bytes that it stands for.
TEST_F(pipeline, ReturnsHoldsWhenResponsesAreWrittenOrDropped) {
  const auto account = std::make_shared<memory::memory_account>(kernel::byte_count(60'000'000));
  Send(Get("/1") + Get("/2") + Get("/3"));
  AwaitRequests(3);
  requests_[0]->Respond(HeldResponse(account, 1'000));
  RunUntil(loop_, [&] { return account->taken() == kernel::byte_count(0); });
  requests_[2]->Respond(HeldResponse(account, 1'000));
  EXPECT_EQ(account->taken(), kernel::byte_count(1'000));
  caller_->Close();
  RunUntil(loop_, [&] { return account->taken() == kernel::byte_count(0); });
}

// Guards against a caller that holds a response without taking any of it.
TEST_F(pipeline, ClosesAConnectionWhoseCallerTakesTooLittle) {
  pipeline_limits limits;
  limits.write_progress_time = kernel::milliseconds(100);
  server_.SetLimits(limits);
  caller_->paused = true;
  Send(Get("/1"));
  AwaitRequests(1);
  requests_[0]->Respond({200, {}, std::string(std::size_t{16} << 20, 'x')});
  RunUntil(loop_, [&] { return server_.connections() == 0; });
  EXPECT_EQ(server_.slow_readers().no_progress, 1U);
}

// Guards against a time limit that a caller renews with each byte it takes, and against one that
// closes a caller that takes enough.
TEST(WriteProgress, IsMeasuredInBytesInATime) {
  constexpr kernel::milliseconds kTime{10'000};
  constexpr std::size_t kBytes = 1'000;
  const kernel::time_point start{std::chrono::seconds(100)};
  internal::write_progress progress;
  progress.Begin(start, 5'000);
  EXPECT_FALSE(progress.IsTooSlow(start + kTime, 5'999, kBytes, kTime));
  EXPECT_TRUE(progress.IsTooSlow(start + kTime + kernel::milliseconds(1), 5'999, kBytes, kTime));
  EXPECT_FALSE(progress.IsTooSlow(start + kTime + kernel::milliseconds(1), 6'000, kBytes, kTime));
  EXPECT_FALSE(progress.IsTooSlow(start + 2 * kTime, 6'999, kBytes, kTime));
  EXPECT_TRUE(progress.IsTooSlow(start + 3 * kTime, 6'999, kBytes, kTime));
}

}  // namespace
}  // namespace cornelweir::http
