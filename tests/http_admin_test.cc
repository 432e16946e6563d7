#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/loop.h"
#include "cornelweir/memory.h"
#include "tests/http_test_support.h"
#include "tests/response_cases.h"

namespace cornelweir::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kAccountBytes = 100'000'000;
// More than the kernel buffers for a connection.
constexpr std::size_t kLargeBytes = 40'000'000;

// GoogleTest asks for names without underscores.
// NOLINTNEXTLINE(readability-identifier-naming)
class AdminTest : public testing::Test {
 protected:
  void StartServer(admin_limits limits = {}) {
    server_.emplace(loop_, limits, account_);
    server_->Handle(method::post, "/v1/edits", [](const admin_request& request, admin_reply reply) {
      reply({200, "text/plain", request.body + "|" + std::string(request.Header("X-Name"))});
    });
    server_->Handle(method::get, "/v1/later", [this](const admin_request&, admin_reply reply) {
      deferred_reply_.emplace(std::move(reply));
    });
    ASSERT_TRUE(server_->Listen(kernel::endpoint("127.0.0.1:0")));
  }

  // Connects a client that sends a request and reads no more than the first bytes of the response.
  std::shared_ptr<raw_peer> AskWithoutReading(std::string_view target) {
    auto peer = raw_peer::Connect(loop_, server_->local_endpoint());
    peer->paused = true;
    peer->Send("GET " + std::string(target) + " HTTP/1.1\r\nHost: h\r\n\r\n");
    RunUntil(loop_, [&] { return !peer->received.empty(); });
    return peer;
  }

  http_result<client_response> Request(method request_method, std::string_view target,
                                       std::string body) {
    std::optional<http_result<client_response>> answer;
    client_.Request(server_->local_endpoint(), request_method, target, std::move(body), seconds(30),
                    [&](http_result<client_response> result) { answer = std::move(result); });
    RunUntil(loop_, [&] { return answer.has_value(); });
    return *answer;
  }

  loop::event_loop loop_;
  std::shared_ptr<memory::memory_account> account_ =
      std::make_shared<memory::memory_account>(kernel::byte_count(kAccountBytes));
  admin_client client_{loop_};
  std::optional<admin_reply> deferred_reply_;
  std::optional<admin_server> server_;
};

TEST_F(AdminTest, RoutesByMethodAndLongestPrefix) {
  StartServer();
  server_->Handle(method::post, "/v1", [](const admin_request&, admin_reply reply) {
    reply({202, "text/plain", "short"});
  });
  EXPECT_EQ(Request(method::post, "/v1/edits?x=1", "body").value().body, "body|");
  EXPECT_EQ(Request(method::post, "/v1/other", "").value().status, 202);
  EXPECT_EQ(Request(method::get, "/v1/edits", "").value().status, 405);
  EXPECT_EQ(Request(method::get, "/other", "").value().status, 404);
}

// Guards against a reply that is lost unless the handler responds immediately.
TEST_F(AdminTest, SendsADeferredReply) {
  StartServer();
  std::optional<http_result<client_response>> answer;
  client_.Request(server_->local_endpoint(), method::get, "/v1/later", "", seconds(30),
                  [&](http_result<client_response> result) { answer = std::move(result); });
  RunUntil(loop_, [&] { return deferred_reply_.has_value(); });
  EXPECT_FALSE(answer);
  (*deferred_reply_)({200, "text/plain", "late"});
  (*deferred_reply_)({200, "text/plain", "twice"});
  RunUntil(loop_, [&] { return answer.has_value(); });
  EXPECT_EQ(answer->value().body, "late");
}

struct refused_message {
  std::string request;
  std::string status;
};

// Guards against messages that exhaust memory or connections, and against request smuggling.
TEST_F(AdminTest, RefusesBadMessages) {
  admin_limits limits;
  limits.read_timeout = milliseconds(50);
  limits.body_bytes = 100;
  StartServer(limits);
  const std::string post = "POST /v1/edits HTTP/1.1\r\nHost: h\r\n";
  const std::vector<refused_message> cases = {
      {post + "Content-Length: 101\r\n\r\n", "413"},
      {post + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'x'), "413"},
      {post + "X: " + std::string(17'000, 'x') + "\r\n\r\n", "431"},
      {post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
      {post + "Transfer-Encoding: gzip\r\n\r\n", "400"},
      {"not http\r\n\r\n", "400"},
  };
  for (const refused_message& refused : cases) {
    const auto peer = raw_peer::Connect(loop_, server_->local_endpoint());
    peer->Send(refused.request);
    RunUntil(loop_, [&] { return peer->closed; });
    EXPECT_TRUE(peer->received.starts_with("HTTP/1.1 " + refused.status)) << peer->received;
  }
  const auto slow = raw_peer::Connect(loop_, server_->local_endpoint());
  slow->Send(post);
  RunUntil(loop_, [&] { return slow->closed; });
  EXPECT_EQ(slow->received, "");
}

// Guards against a sum of bodies that keeps the bytes of a connection that closed during a body.
TEST_F(AdminTest, ReturnsTheBytesOfAnUnfinishedBody) {
  admin_limits limits;
  limits.read_timeout = milliseconds(50);
  limits.body_bytes = 1000;
  limits.total_body_bytes = 1000;
  StartServer(limits);
  for (int i = 0; i < 3; ++i) {
    const auto slow = raw_peer::Connect(loop_, server_->local_endpoint());
    slow->Send("POST /v1/edits HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" +
               std::string(800, 'x'));
    RunUntil(loop_, [&] { return slow->closed; });
    EXPECT_EQ(slow->received, "");
  }
}

// Guards against a client that waits forever because the handler never responds.
TEST_F(AdminTest, RespondsIfTheHandlerDropsTheRequest) {
  StartServer();
  server_->Handle(method::get, "/v1/dropped", [](const admin_request&, const admin_reply&) {});
  EXPECT_EQ(Request(method::get, "/v1/dropped", "").value().status, 500);
}

// Guards against connections above the limit that are served.
TEST_F(AdminTest, BoundsConnections) {
  admin_limits limits;
  limits.connections = 1;
  StartServer(limits);
  EXPECT_EQ(Request(method::post, "/v1/edits", "a").value().status, 200);
  const auto second = raw_peer::Connect(loop_, server_->local_endpoint());
  RunUntil(loop_, [&] { return second->closed; });
  EXPECT_EQ(Request(method::post, "/v1/edits", "a").value().status, 200);
}

// Guards against a copy of a large text for each client that reads it slowly.
TEST_F(AdminTest, SharesOneTextAmongResponses) {
  StartServer();
  auto text = HoldText(account_, std::string(kLargeBytes, 'x'));
  server_->Handle(method::get, "/v1/text", [&](const admin_request&, admin_reply reply) {
    admin_response response;
    response.shared_body = text;
    reply(std::move(response));
  });
  const auto first = AskWithoutReading("/v1/text");
  const auto second = AskWithoutReading("/v1/text");
  EXPECT_EQ(account_->taken().value(), static_cast<std::int64_t>(kLargeBytes));
  text = nullptr;
  EXPECT_EQ(account_->taken().value(), static_cast<std::int64_t>(kLargeBytes));
  first->Close();
  second->Close();
  RunUntil(loop_, [&] { return account_->taken().value() == 0; });
}

// Guards against a text that is kept although the account has no room for it.
TEST_F(AdminTest, HoldsNoTextWithoutRoom) {
  const auto first = HoldText(account_, std::string(kLargeBytes, 'x'));
  EXPECT_TRUE(first);
  const auto second = HoldText(account_, std::string(kLargeBytes, 'x'));
  EXPECT_TRUE(second);
  EXPECT_FALSE(HoldText(account_, std::string(kLargeBytes, 'x')));
}

// Guards against slow clients that together hold more responses than the process has memory for,
// and against room that is not given back.
TEST_F(AdminTest, RefusesAResponseWithoutRoom) {
  StartServer();
  server_->Handle(method::get, "/v1/own", [](const admin_request&, admin_reply reply) {
    reply({200, "text/plain", std::string(kLargeBytes, 'x')});
  });
  const auto first = AskWithoutReading("/v1/own");
  const auto second = AskWithoutReading("/v1/own");
  EXPECT_EQ(account_->taken().value(), static_cast<std::int64_t>(2 * kLargeBytes));
  const auto third = AskWithoutReading("/v1/own");
  EXPECT_TRUE(third->received.starts_with("HTTP/1.1 503")) << third->received.substr(0, 20);
  EXPECT_EQ(Request(method::post, "/v1/edits", "a").value().status, 200);
  first->Close();
  second->Close();
  RunUntil(loop_, [&] { return account_->taken().value() == 0; });
  EXPECT_TRUE(AskWithoutReading("/v1/own")->received.starts_with("HTTP/1.1 200"));
}

// Guards against a client that keeps a response in memory by reading a few bytes now and then.
TEST_F(AdminTest, ClosesAConnectionWithoutProgress) {
  admin_limits limits;
  limits.write_progress_time = milliseconds(100);
  StartServer(limits);
  server_->Handle(method::get, "/v1/own", [](const admin_request&, admin_reply reply) {
    reply({200, "text/plain", std::string(kLargeBytes, 'x')});
  });
  const auto client = AskWithoutReading("/v1/own");
  RunUntil(loop_, [&] { return account_->taken().value() == 0; });
  client->paused = false;
  client->Read();
  RunUntil(loop_, [&] { return client->closed; });
  EXPECT_LT(client->received.size(), kLargeBytes);
}

// Guards against a limit of the whole time of a response, which fails clients that read it steadily
// over a slow line.
TEST_F(AdminTest, ServesAClientThatMakesProgress) {
  admin_limits limits;
  limits.read_timeout = milliseconds(50);
  StartServer(limits);
  server_->Handle(method::get, "/v1/own", [](const admin_request&, admin_reply reply) {
    reply({200, "text/plain", std::string(kLargeBytes, 'x')});
  });
  const auto client = AskWithoutReading("/v1/own");
  loop::timer resume(loop_);
  resume.Start(milliseconds(150), [&] {
    client->paused = false;
    client->Read();
  });
  RunUntil(loop_, [&] { return client->closed || client->received.size() >= kLargeBytes; });
  RunUntil(loop_, [&] { return account_->taken().value() == 0; });
  EXPECT_GE(client->received.size(), kLargeBytes);
  EXPECT_FALSE(client->closed);
}

// Guards against a shutdown that loses the response to a request in progress.
TEST_F(AdminTest, DrainsGracefully) {
  StartServer();
  std::optional<http_result<client_response>> answer;
  client_.Request(server_->local_endpoint(), method::get, "/v1/later", "", seconds(30),
                  [&](http_result<client_response> result) { answer = std::move(result); });
  RunUntil(loop_, [&] { return deferred_reply_.has_value(); });
  bool drained = false;
  server_->BeginDrain([&] { drained = true; });
  (*deferred_reply_)({200, "text/plain", "late"});
  RunUntil(loop_, [&] { return drained && answer.has_value(); });
  EXPECT_EQ(answer->value().body, "late");
}

// Guards against errors that do not state whether a request may have run.
TEST_F(AdminTest, ClientErrorsStateWhetherAnythingWasSent) {
  raw_server server(loop_);
  std::string response;
  server.on_bytes = [&](raw_peer& peer) {
    if (peer.closed) return;
    if (!response.empty()) peer.Send(response);
    if (response != "HTTP/1.1 200 OK\r\n") peer.CloseWhenSent();
  };
  kernel::endpoint target = server.endpoint();
  const auto failure = [&](kernel::microseconds timeout) {
    std::optional<http_error> error;
    client_.Request(target, method::get, "/", "", timeout,
                    [&](const http_result<client_response>& result) { error = result.error(); });
    RunUntil(loop_, [&] { return error.has_value(); });
    return *error;
  };
  EXPECT_EQ(failure(seconds(30)), (http_error{http_fault::kConnectionBroken, true}));
  response = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  EXPECT_EQ(failure(seconds(30)), (http_error{http_fault::kConnectionBroken, true}));
  response = "no response\r\n\r\n";
  EXPECT_EQ(failure(seconds(30)), (http_error{http_fault::kMalformed, true}));
  response = "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n";
  EXPECT_EQ(failure(seconds(30)), (http_error{http_fault::kTooLarge, true}));
  response = "HTTP/1.1 200 OK\r\n";
  EXPECT_EQ(failure(milliseconds(10)), (http_error{http_fault::kTimeout, true}));
  target = kernel::endpoint("host:80");
  EXPECT_EQ(failure(seconds(30)), (http_error{http_fault::kBadEndpoint, false}));
  tcp::acceptor closed(loop_.context(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  target = FormatEndpoint(closed.local_endpoint());
  closed.close();
  EXPECT_EQ(failure(seconds(30)), (http_error{http_fault::kConnectFailed, false}));
}

// Guards against an invalid response that the client returns as a complete one, and against a valid
// one that it refuses.
TEST_F(AdminTest, ClientReturnsCompleteResponsesOnly) {
  raw_server server(loop_);
  const auto get = [&](const response_case& tested) {
    server.AnswerAndClose(tested.bytes);
    std::optional<http_result<client_response>> answer;
    client_.Request(server.endpoint(), method::get, "/", "", seconds(30),
                    [&](http_result<client_response> result) { answer = std::move(result); });
    RunUntil(loop_, [&] { return answer.has_value(); });
    return *std::move(answer);
  };
  for (const response_case& broken : BrokenResponses()) EXPECT_FALSE(get(broken)) << broken.name;
  for (const response_case& complete : CompleteResponses()) {
    const auto answer = get(complete);
    ASSERT_TRUE(answer) << complete.name;
    EXPECT_EQ(answer.value().status, *complete.status) << complete.name;
    EXPECT_EQ(answer.value().body, complete.body) << complete.name;
  }
}

// Guards against a part of a body that the client returns as a whole one: if the write of the
// request gets the error of a reset, the read sees an ordinary end of the connection.
TEST_F(AdminTest, ClientRefusesAnUnframedResponseWhoseConnectionIsReset) {
  raw_server server(loop_);
  server.AnswerAndReset(kUnframedPart);
  for (const std::size_t bytes : {0, 300'000, 24'000'000}) {
    std::optional<http_result<client_response>> answer;
    client_.Request(server.endpoint(), method::post, "/", std::string(bytes, 'x'), seconds(30),
                    [&](http_result<client_response> result) { answer = std::move(result); });
    RunUntil(loop_, [&] { return answer.has_value(); });
    ASSERT_FALSE(*answer) << bytes;
    EXPECT_EQ(answer->error(), (http_error{http_fault::kConnectionBroken, true})) << bytes;
  }
}

}  // namespace
}  // namespace cornelweir::http
