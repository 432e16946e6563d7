#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/loop.h"
#include "tests/http_test_support.h"

namespace cornelweir::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// GoogleTest asks for names without underscores.
// NOLINTNEXTLINE(readability-identifier-naming)
class AdminTest : public testing::Test {
 protected:
  void StartServer(admin_limits limits = {}) {
    server_.emplace(loop_, limits);
    server_->Handle(method::post, "/v1/edits", [](const admin_request& request, admin_reply reply) {
      reply({200, "text/plain", request.body + "|" + std::string(request.Header("X-Name"))});
    });
    server_->Handle(method::get, "/v1/later", [this](const admin_request&, admin_reply reply) {
      deferred_reply_.emplace(std::move(reply));
    });
    ASSERT_TRUE(server_->Listen(kernel::endpoint("127.0.0.1:0")));
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

}  // namespace
}  // namespace cornelweir::http
