// Tests of the upstream client: truncated, duplicate and late responses, and connection reuse.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "cornelweir/memory.h"
#include "tests/http_test_support.h"
#include "tests/response_cases.h"

namespace cornelweir::http {
namespace {

class upstream : public ::testing::Test {
 protected:
  upstream()
      : acceptor_(loop_.context(), tcp::endpoint(tcp::v4(), 0)), client_(loop_, {}, account_) {
    client_.SetEndpoint(
        kernel::endpoint("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())));
    Accept();
  }

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) return;
      server_ = std::make_shared<raw_peer>(std::move(socket));
      server_->Read();
      ++accepted_;
      Accept();
    });
  }

  // Sends a request whose response must carry the id.
  void Request(const std::string& id) {
    result_.reset();
    exchange_ = client_.Send(
        {"GET", "/" + id, {{"Host", "h"}}, ""}, std::chrono::seconds(20),
        [id](const whole_response& response) {
          return FindHeader(response.headers, "Id") == id ? response_match::kMatched
                                                          : response_match::kStale;
        },
        [this](upstream_result result) { result_ = std::move(result); });
    RunUntil(loop_,
             [&] { return server_ && server_->received.find("GET /" + id) != std::string::npos; });
  }
  void AwaitResult() {
    RunUntil(loop_, [&] { return result_.has_value(); });
  }

  static std::string Response(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  // Sends a request to a server and returns its result, whatever the id of the response.
  upstream_result Send(const raw_server& server, const std::string& method,
                       const std::string& body = "") {
    result_.reset();
    client_.SetEndpoint(server.endpoint());
    client_.Send(
        {method, "/", {{"Host", "h"}}, body}, std::chrono::seconds(20),
        [](const whole_response&) { return response_match::kMatched; },
        [this](upstream_result result) { result_ = std::move(result); });
    AwaitResult();
    return *std::move(result_);
  }

  // Sends a request to which the server answers with a prefix and then endless further bytes.
  // Expects that the connection is closed before the server has sent max_bytes.
  void ExpectBrokenByEndlessBytes(const std::string& prefix, const std::string& repeated,
                                  std::size_t max_bytes) {
    Request("a");
    server_->repeated = repeated;
    server_->Send(prefix);
    AwaitResult();
    EXPECT_EQ(result_->status, upstream_status::kBroken);
    RunUntil(loop_, [&] { return server_->closed; });
    EXPECT_LT(server_->sent, max_bytes);
    Request("b");
    EXPECT_EQ(accepted_, 2) << "the connection was used again";
  }

  loop::event_loop loop_;
  const std::shared_ptr<memory::memory_account> account_ =
      std::make_shared<memory::memory_account>(kernel::byte_count(40'000'000));
  tcp::acceptor acceptor_;
  std::shared_ptr<raw_peer> server_;
  int accepted_ = 0;
  upstream_client client_;
  std::shared_ptr<upstream_exchange> exchange_;
  std::optional<upstream_result> result_;
};

// Guards against a new connection for each request, which is expensive for upstreams.
TEST_F(upstream, ReusesTheConnection) {
  Request("a");
  server_->Send(Response("a", "one"));
  AwaitResult();
  EXPECT_EQ(result_->response->body, "one");
  Request("b");
  server_->Send(Response("b", "two"));
  AwaitResult();
  EXPECT_EQ(result_->response->body, "two");
  EXPECT_EQ(accepted_, 1);
}

// Guards against a late response that is delivered as the response to the next request.
TEST_F(upstream, SkipsAStaleResponse) {
  Request("b");
  server_->Send(Response("a", "late") + Response("b", "right"));
  AwaitResult();
  EXPECT_EQ(result_->response->body, "right");
}

// Guards against bytes after a response that are parsed as the next response.
TEST_F(upstream, ClosesAConnectionWithUnexpectedBytes) {
  Request("a");
  server_->Send(Response("a", "one") + Response("a", "again"));
  AwaitResult();
  EXPECT_EQ(result_->response->body, "one");
  Request("b");
  EXPECT_EQ(accepted_, 2);
  server_->Send(Response("b", "two"));
  AwaitResult();
  EXPECT_EQ(result_->response->body, "two");
}

// Guards against a truncated response that is reported as complete.
TEST_F(upstream, ReportsATruncatedResponseAsBroken) {
  Request("a");
  server_->Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf");
  server_->Close();
  AwaitResult();
  EXPECT_EQ(result_->status, upstream_status::kBroken);
}

// Guards against the loss of a response without a length.
TEST_F(upstream, AcceptsAResponseDelimitedByConnectionEnd) {
  Request("a");
  server_->Send("HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it");
  server_->Close();
  AwaitResult();
  EXPECT_EQ(result_->status, upstream_status::kResponse);
  EXPECT_EQ(result_->response->body, "all of it");
}

// Guards against malformed bytes that are accepted as a response.
TEST_F(upstream, ReportsAMalformedResponseAsBroken) {
  Request("a");
  server_->Send("garbage garbage\r\n\r\n");
  AwaitResult();
  EXPECT_EQ(result_->status, upstream_status::kBroken);
}

// Guards against an upstream that continues to work for a disconnected caller.
TEST_F(upstream, ClosesTheConnectionOfACancelledRequest) {
  Request("a");
  exchange_->Cancel();
  RunUntil(loop_, [&] { return server_->closed; });
  EXPECT_FALSE(result_);
}

// Guards against a request that was never sent but is reported as possibly run.
TEST_F(upstream, ReportsARefusedConnectionAsNotSent) {
  acceptor_.close();
  client_.Send(
      {"GET", "/a", {}, ""}, std::chrono::seconds(20),
      [](const whole_response&) { return response_match::kMatched; },
      [this](upstream_result result) { result_ = std::move(result); });
  AwaitResult();
  EXPECT_EQ(result_->status, upstream_status::kNotSent);
}

// Guards against an invalid response that is delivered, and against a valid one that is refused.
TEST_F(upstream, DeliversCompleteResponsesOnly) {
  raw_server server(loop_);
  for (const response_case& broken : BrokenResponses()) {
    server.AnswerAndClose(broken.bytes);
    EXPECT_EQ(Send(server, "GET").status, upstream_status::kBroken) << broken.name;
  }
  for (const response_case& complete : CompleteResponses()) {
    server.AnswerAndClose(complete.bytes);
    const upstream_result result = Send(server, "GET");
    ASSERT_EQ(result.status, upstream_status::kResponse) << complete.name;
    EXPECT_EQ(result.response->status, *complete.status) << complete.name;
    EXPECT_EQ(result.response->body, complete.body) << complete.name;
  }
}

// Guards against trailer fields that pass for fields of the header, such as a signature.
TEST_F(upstream, DoesNotMergeTrailersIntoTheHeader) {
  raw_server server(loop_);
  server.on_bytes = [](raw_peer& peer) {
    if (peer.closed) return;
    peer.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: a\r\n\r\n");
  };
  const upstream_result result = Send(server, "GET");
  ASSERT_EQ(result.status, upstream_status::kResponse);
  EXPECT_EQ(result.response->body, "ok");
  EXPECT_EQ(FindHeader(result.response->headers, "X"), "");
}

// Bytes that fit in the socket buffers of both sides of a loopback connection.
constexpr std::size_t kSocketBufferBytes = std::size_t{12} << 20;
const std::string kFiller(std::size_t{32} << 10, 'x');

// Guards against a part of a body that is delivered as a whole one: the kernel reports a reset
// once, and if the write of the request gets the error, the read sees an ordinary end of the
// connection.
TEST_F(upstream, RefusesAnUnframedResponseWhoseConnectionIsReset) {
  raw_server server(loop_);
  server.AnswerAndReset(kUnframedPart);
  for (const std::size_t bytes : {std::size_t{0}, std::size_t{300'000}, 2 * kSocketBufferBytes}) {
    const upstream_result result = Send(server, "POST", std::string(bytes, 'x'));
    EXPECT_EQ(result.status, upstream_status::kBroken) << "upload of " << bytes << " bytes";
  }
}

// Guards against a part of a body that is delivered as a whole one, if a server closes its
// connection before it has read the request.
TEST_F(upstream, RefusesAnUnframedResponseThatEndsBeforeTheRequest) {
  raw_server server(loop_);
  server.on_bytes = [](raw_peer& peer) {
    if (peer.paused) return;
    peer.paused = true;
    peer.Send(kUnframedPart);
    peer.CloseWhenSent();
  };
  EXPECT_EQ(Send(server, "POST", std::string(2 * kSocketBufferBytes, 'x')).status,
            upstream_status::kBroken);
}

// Guards against the loss of a response without a length to an upload that was read.
TEST_F(upstream, AcceptsAnUnframedResponseToAWholeUpload) {
  const std::string body(2 * kSocketBufferBytes, 'x');
  raw_server server(loop_);
  server.on_bytes = [&body](raw_peer& peer) {
    if (peer.closed) return;
    const std::size_t head = peer.received.find("\r\n\r\n") + 4;
    if (peer.received.size() < head + body.size()) return;
    peer.Send("HTTP/1.1 200 OK\r\n\r\nall of it");
    peer.CloseWhenSent();
  };
  const upstream_result result = Send(server, "POST", body);
  ASSERT_EQ(result.status, upstream_status::kResponse);
  EXPECT_EQ(result.response->body, "all of it");
}

// Guards against unbounded memory for a response header that never ends.
TEST_F(upstream, ClosesOnAnEndlessHeader) {
  ExpectBrokenByEndlessBytes("HTTP/1.1 200 OK\r\nId: a\r\nFiller: ", kFiller,
                             kMaxHeaderBytes + kSocketBufferBytes);
}

// Guards against unbounded memory for a body without a length that never ends.
TEST_F(upstream, ClosesOnAnEndlessBodyWithoutALength) {
  ExpectBrokenByEndlessBytes("HTTP/1.1 200 OK\r\nId: a\r\n\r\n", kFiller,
                             kMaxBufferedBodyBytes + kSocketBufferBytes);
}

// Guards against unbounded memory for an endless sequence of chunks.
TEST_F(upstream, ClosesOnAnEndlessChunkedBody) {
  ExpectBrokenByEndlessBytes("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                             "8000\r\n" + kFiller + "\r\n",
                             kMaxBufferedBodyBytes + kSocketBufferBytes);
}

// Guards against unbounded memory for the header of a chunk, which the parser does not limit.
TEST_F(upstream, ClosesOnAnEndlessChunkHeader) {
  ExpectBrokenByEndlessBytes(
      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5;extension=", kFiller,
      kMaxHeaderBytes + kSocketBufferBytes);
}

// Guards against reading a body whose announced length exceeds the limit.
TEST_F(upstream, ClosesOnABodyThatIsAnnouncedAsTooLarge) {
  ExpectBrokenByEndlessBytes("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1000000000000\r\n\r\n",
                             kFiller, kSocketBufferBytes);
}

// Guards against a connection that is busy forever with responses that are not the awaited one.
TEST_F(upstream, ClosesOnEndlessInterimResponses) {
  ExpectBrokenByEndlessBytes("HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
                             kSocketBufferBytes);
}
TEST_F(upstream, ClosesOnEndlessLateResponses) {
  ExpectBrokenByEndlessBytes(Response("z", "late"), Response("z", "late"), kSocketBufferBytes);
}

// Guards against a response that keeps its connection beyond the deadline by sending single bytes.
TEST_F(upstream, EndsATrickledResponseAtTheDeadline) {
  client_.Send(
      {"GET", "/a", {{"Host", "h"}}, ""}, std::chrono::milliseconds(150),
      [](const whole_response&) { return response_match::kMatched; },
      [this](upstream_result result) { result_ = std::move(result); });
  RunUntil(loop_, [&] { return server_ && !server_->received.empty(); });
  server_->Send("HTTP/1.1 200 OK\r\nId: a\r\n\r\n");
  loop::timer trickle(loop_);
  trickle.StartPeriodic(std::chrono::milliseconds(5), [&] { server_->Send("x"); });
  AwaitResult();
  EXPECT_EQ(result_->status, upstream_status::kTimeout);
  RunUntil(loop_, [&] { return server_->closed; });
}

// Guards against bytes that are held for longer than the response.
TEST_F(upstream, HoldsTheBytesOfAResponse) {
  Request("a");
  server_->Send(Response("a", std::string(1'000'000, 'x')));
  AwaitResult();
  EXPECT_EQ(account_->taken(memory::memory_use::kUpstreamResponses), kernel::byte_count(1'000'000));
  result_.reset();
  EXPECT_EQ(account_->taken(), kernel::byte_count(0));
  Request("b");
  server_->Send("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1000000\r\n\r\nhalf");
  server_->Close();
  AwaitResult();
  EXPECT_EQ(result_->status, upstream_status::kBroken);
  EXPECT_EQ(account_->taken(), kernel::byte_count(0));
}

// Guards against reading a response that the account has no room for, and against losing it when
// there is room again.
TEST_F(upstream, ReadsAResponseOnceThereIsRoom) {
  constexpr std::size_t kBodyBytes = std::size_t{16} << 20;
  std::optional<memory::memory_hold> others(std::in_place, account_,
                                            memory::memory_use::kCallerResponses);
  ASSERT_TRUE(others->Resize(kernel::byte_count(32'000'000)));
  for (const bool has_length : {true, false}) {
    const std::string id = has_length ? "a" : "b";
    const std::string body(kBodyBytes, 'x');
    const std::uint64_t refusals = account_->refusals(memory::memory_use::kUpstreamResponses);
    ASSERT_TRUE(others->Resize(kernel::byte_count(32'000'000)));
    Request(id);
    const std::size_t sent_before = server_->sent;
    std::string unframed = "HTTP/1.1 200 OK\r\nId: ";
    unframed.append(id).append("\r\n\r\n").append(body);
    server_->Send(has_length ? Response(id, body) : unframed);
    server_->CloseWhenSent();
    RunUntil(loop_,
             [&] { return account_->refusals(memory::memory_use::kUpstreamResponses) > refusals; });
    // Gives a connection that reads on the time to read everything.
    const std::uint64_t waiting = account_->refusals(memory::memory_use::kUpstreamResponses);
    bool later = false;
    loop::timer timer(loop_);
    timer.Start(kernel::milliseconds(100), [&] { later = true; });
    RunUntil(loop_, [&] { return later; });
    EXPECT_FALSE(result_);
    EXPECT_EQ(server_->sent, sent_before) << "the whole response was read";
    EXPECT_EQ(account_->refusals(memory::memory_use::kUpstreamResponses), waiting)
        << "a response that waits was counted again";
    others->Resize(kernel::byte_count(0));
    AwaitResult();
    EXPECT_EQ(result_->status, upstream_status::kResponse);
    EXPECT_EQ(result_->response->body, body);
    result_.reset();
    RunUntil(loop_, [&] { return server_->closed; });
    server_.reset();
  }
}

// Guards against a request that has no end while there is no room for its response, and against one
// that is reported as not run although it has run.
TEST_F(upstream, TimesOutIfThereIsNoRoomBeforeTheDeadline) {
  memory::memory_hold others(account_, memory::memory_use::kCallerResponses);
  ASSERT_TRUE(others.Resize(kernel::byte_count(32'000'000)));
  client_.Send(
      {"GET", "/a", {{"Host", "h"}}, ""}, std::chrono::milliseconds(150),
      [](const whole_response&) { return response_match::kMatched; },
      [this](upstream_result result) { result_ = std::move(result); });
  RunUntil(loop_, [&] { return server_ && !server_->received.empty(); });
  server_->Send("HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\nx");
  AwaitResult();
  EXPECT_EQ(result_->status, upstream_status::kTimeout);
  RunUntil(loop_, [&] { return server_->closed; });
}

// Guards against the sum of bodies that are each within the limit of one.
TEST(UpstreamMemory, LimitsTheBodiesOfAllConnectionsTogether) {
  constexpr std::int64_t kTotal = std::int64_t{4} << 20;
  constexpr std::size_t kConnections = 6;
  loop::event_loop loop;
  raw_server server(loop);
  server.on_bytes = [](raw_peer& peer) {
    if (!peer.repeated.empty() || peer.closed) return;
    peer.repeated = kFiller;
    peer.Send("HTTP/1.1 200 OK\r\n\r\n");
  };
  const auto account = std::make_shared<memory::memory_account>(kernel::byte_count(kTotal));
  upstream_client client(loop, {}, account);
  client.SetEndpoint(server.endpoint());
  std::size_t timed_out = 0;
  kernel::byte_count largest_sum(0);
  for (std::size_t i = 0; i < kConnections; ++i) {
    client.Send(
        {"GET", "/a", {{"Host", "h"}}, ""}, std::chrono::milliseconds(500),
        [](const whole_response&) { return response_match::kMatched; },
        [&](const upstream_result& result) {
          if (result.status == upstream_status::kTimeout) ++timed_out;
        });
  }
  RunUntil(loop, [&] {
    largest_sum = std::max(largest_sum, account->taken());
    return timed_out == kConnections;
  });
  EXPECT_GT(largest_sum, kernel::byte_count(kTotal / 4));
  EXPECT_LE(largest_sum, kernel::byte_count(kTotal));
  EXPECT_EQ(account->taken(), kernel::byte_count(0));
  std::size_t sent = 0;
  for (const auto& peer : server.peers) sent += peer->sent;
  EXPECT_LT(sent, static_cast<std::size_t>(kTotal) + kConnections * kSocketBufferBytes);
}

}  // namespace
}  // namespace cornelweir::http
