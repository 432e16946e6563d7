// Tests of the upstream client: truncated, duplicate and late responses, and connection reuse.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "tests/http_test_support.h"

namespace cornelweir::http {
namespace {

class upstream : public ::testing::Test {
 protected:
  upstream() : acceptor_(loop_.context(), tcp::endpoint(tcp::v4(), 0)), client_(loop_, {}) {
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

  loop::event_loop loop_;
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
  EXPECT_EQ(result_->response.body, "one");
  Request("b");
  server_->Send(Response("b", "two"));
  AwaitResult();
  EXPECT_EQ(result_->response.body, "two");
  EXPECT_EQ(accepted_, 1);
}

// Guards against a late response that is delivered as the response to the next request.
TEST_F(upstream, SkipsAStaleResponse) {
  Request("b");
  server_->Send(Response("a", "late") + Response("b", "right"));
  AwaitResult();
  EXPECT_EQ(result_->response.body, "right");
}

// Guards against bytes after a response that are parsed as the next response.
TEST_F(upstream, ClosesAConnectionWithUnexpectedBytes) {
  Request("a");
  server_->Send(Response("a", "one") + Response("a", "again"));
  AwaitResult();
  EXPECT_EQ(result_->response.body, "one");
  Request("b");
  EXPECT_EQ(accepted_, 2);
  server_->Send(Response("b", "two"));
  AwaitResult();
  EXPECT_EQ(result_->response.body, "two");
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
  EXPECT_EQ(result_->response.body, "all of it");
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

}  // namespace
}  // namespace cornelweir::http
