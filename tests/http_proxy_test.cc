#include <gtest/gtest.h>

#include <functional>
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

// Forwards each request to one server, unless a test sets something else.
struct test_handler {
  std::function<void(const request_head&, const std::shared_ptr<exchange>&)> handle;
  void HandleRequest(const request_head& head, const std::shared_ptr<exchange>& request) {
    handle(head, request);
  }
};

class ProxyTest : public testing::Test {
 protected:
  void StartProxy(proxy_limits limits = {}, pool_limits pool = {}) {
    pool_.emplace(loop_, pool);
    proxy_.emplace(loop_, *pool_, handler_, limits);
    handler_.handle = [this](const request_head&, const std::shared_ptr<exchange>& request) {
      Forward(request, server_.endpoint());
    };
    ASSERT_TRUE(proxy_->Listen(kernel::endpoint("127.0.0.1:0")));
  }

  void Forward(const std::shared_ptr<exchange>& request, const kernel::endpoint& endpoint) {
    forward_callbacks callbacks;
    callbacks.on_response_head = [](int, header_list& headers) {
      headers.set("x-cornelweir-outcome", "ran");
    };
    callbacks.tap_bytes = kMaxTapBytes;
    callbacks.on_done = [this, request](const forward_result& result) {
      results_.push_back(result);
      if (!result.responded) request->Refuse(502, "broken\n", {});
    };
    request->ForwardTo(endpoint, {}, timeout_, std::move(callbacks));
  }

  std::shared_ptr<raw_peer> Connect() { return raw_peer::Connect(loop_, proxy_->local_endpoint()); }

  // Answers each request that ends with a blank line.
  void AnswerWith(std::string response) {
    server_.on_bytes = [response](raw_peer& peer) {
      if (!peer.received.ends_with("\r\n\r\n")) return;
      peer.received.clear();
      peer.Send(response);
    };
  }

  template <class Condition>
  void RunUntil(Condition condition) {
    http::RunUntil(loop_, condition);
  }

  std::string Exchange(raw_peer& caller, std::string request) {
    std::string response;
    caller.Send(std::move(request));
    RunUntil([&] {
      response = caller.TakeResponse();
      return !response.empty() || caller.closed;
    });
    return response;
  }

  loop::event_loop loop_;
  raw_server server_{loop_};
  test_handler handler_;
  std::optional<connection_pool> pool_;
  std::optional<proxy_server<test_handler>> proxy_;
  std::vector<forward_result> results_;
  kernel::microseconds timeout_ = seconds(30);
};

constexpr char kGet[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against a connection that is not used again on either side.
TEST_F(ProxyTest, KeepsBothConnectionsAlive) {
  StartProxy();
  AnswerWith(kOk);
  const auto caller = Connect();
  for (int i = 0; i < 3; ++i) {
    const std::string response = Exchange(*caller, kGet);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 200 OK\r\n")) << response;
    EXPECT_TRUE(response.ends_with("\r\n\r\nok")) << response;
    EXPECT_NE(response.find("x-cornelweir-outcome: ran"), std::string::npos) << response;
  }
  EXPECT_EQ(server_.peers.size(), 1U);
  RunUntil([&] { return results_.size() == 3; });
  EXPECT_EQ(results_[0].outcome, forward_status::kComplete);
  EXPECT_EQ(results_[0].body_prefix, "ok");
  EXPECT_TRUE(results_[0].body_prefix_is_whole);
}

// Guards against a refused connection being reported as possibly run.
TEST_F(ProxyTest, ReportsARefusedConnectionAsNotSent) {
  StartProxy();
  tcp::acceptor closed(loop_.context(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const kernel::endpoint nowhere = EndpointOf(closed.local_endpoint());
  closed.close();
  handler_.handle = [&](const request_head&, const std::shared_ptr<exchange>& request) {
    Forward(request, nowhere);
  };
  const auto caller = Connect();
  EXPECT_TRUE(Exchange(*caller, kGet).starts_with("HTTP/1.1 502 "));
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].outcome, forward_status::kNotSent);
  EXPECT_FALSE(results_[0].sent);
}

}  // namespace
}  // namespace cornelweir::http
