#include "cornelweir/src/http/admin_server.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cornelweir/src/http/buffered_bytes.h"
#include "cornelweir/src/http/listener.h"
#include "cornelweir/src/memory/memory_hold.h"

namespace cornelweir::http {
namespace internal {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

// The routes and the open connections of a server.
class admin_core : public std::enable_shared_from_this<admin_core> {
 public:
  struct route {
    http::method method;
    std::string path_prefix;
    admin_server::handler handle;
  };

  admin_core(loop::event_loop& loop, admin_limits limits,
             std::shared_ptr<memory::memory_account> memory)
      : loop_(loop), limits_(limits), memory_(std::move(memory)) {}

  void Accept(boost::asio::ip::tcp::socket socket);
  void Dispatch(const admin_request& request, admin_reply reply);
  void Remove(const std::shared_ptr<admin_session>& session);
  void Close();
  void BeginDrain(std::function<void()> done);

  loop::event_loop& loop_;
  admin_limits limits_;
  // Null if bodies of responses are not counted.
  const std::shared_ptr<memory::memory_account> memory_;
  std::shared_ptr<listener> listener_;
  std::vector<route> routes_;
  std::unordered_set<std::shared_ptr<admin_session>> sessions_;
  std::function<void()> on_drained_;
  // Bytes of bodies that are being read.
  const std::shared_ptr<buffered_total> buffered_ = std::make_shared<buffered_total>();
  bool draining_ = false;
};

// One client connection, which serves one request at a time.
class admin_session : public std::enable_shared_from_this<admin_session> {
 public:
  admin_session(std::shared_ptr<admin_core> core, boost::asio::ip::tcp::socket socket)
      : core_(std::move(core)),
        stream_(std::move(socket)),
        buffer_(core_->limits_.header_bytes),
        buffered_(core_->buffered_) {}

  void Read() {
    busy_ = false;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(core_->limits_.header_bytes));
    parser_->body_limit(core_->limits_.body_bytes);
    parser_->eager(true);
    if (buffer_.size() > 0) return ReadMessage();
    stream_.expires_after(core_->limits_.idle_timeout);
    stream_.async_read_some(
        buffer_.prepare(1024),
        [self = shared_from_this()](const beast::error_code& error, std::size_t size) {
          if (error) return self->Close();
          self->buffer_.commit(size);
          self->ReadMessage();
        });
  }

  // May be called after the connection was closed; the response is then dropped.
  void Reply(admin_response response) {
    if (replied_) return;
    replied_ = true;
    if (closed_) return;
    if (!TakeBody(response)) {
      response.status = 503;
      response.content_type = "text/plain";
      response.headers.clear();
      body_ = std::make_shared<const std::string>("too many responses are being sent\n");
    }
    response_ = {};
    response_.result(static_cast<unsigned>(response.status));
    response_.version(11);
    SetHeaders(response_, response.headers);
    response_.set(beast_http::field::content_type, response.content_type);
    response_.body() = {body_->data(), body_->size()};
    response_.keep_alive(keep_alive_ && !core_->draining_);
    response_.prepare_payload();
    if (parser_->get().method() == beast_http::verb::head) response_.body() = {};
    serializer_.emplace(response_);
    StartWriteTimer();
    WritePart();
  }

  // A request that has already arrived is served before the connection is closed.
  void CloseIfIdle() {
    beast::error_code error;
    if (busy_ || (stream_.socket().available(error) > 0 && !error)) return;
    Close();
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    beast::error_code ignored;
    stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
    core_->Remove(shared_from_this());
  }

 private:
  // Takes room for a body that is not shared. Returns false if there is none. Only reads are
  // refused for it: other requests have taken effect, and their responses are small.
  bool TakeBody(admin_response& response) {
    if (response.shared_body) {
      body_ = std::move(response.shared_body);
      return true;
    }
    if (core_->memory_ && !response.body.empty()) {
      hold_ = std::make_unique<memory::memory_hold>(core_->memory_,
                                                    memory::memory_use::kOperatorResponses);
      const auto bytes = static_cast<std::int64_t>(response.body.size());
      const beast_http::verb method = parser_->get().method();
      const bool is_read = method == beast_http::verb::get || method == beast_http::verb::head;
      if (!hold_->Resize(kernel::byte_count(bytes)) && is_read) return false;
    }
    body_ = std::make_shared<const std::string>(std::move(response.body));
    return true;
  }

  void StartWriteTimer() {
    progress_bytes_ = 0;
    stream_.expires_after(core_->limits_.write_progress_time);
  }

  // Writes in parts, since the client must take some bytes in a time.
  void WritePart() {
    beast_http::async_write_some(
        stream_, *serializer_,
        [self = shared_from_this()](const beast::error_code& error, std::size_t size) {
          if (error) return self->Close();
          if (self->serializer_->is_done()) return self->OnWritten();
          self->progress_bytes_ += size;
          if (self->progress_bytes_ >= kMinWriteProgressBytes) self->StartWriteTimer();
          self->WritePart();
        });
  }

  void OnWritten() {
    const bool keep_alive = response_.keep_alive();
    ReleaseBody();
    if (!keep_alive) return Close();
    Read();
  }

  void ReleaseBody() {
    serializer_.reset();
    response_ = {};
    body_.reset();
    hold_.reset();
  }

  void ReadMessage() {
    busy_ = true;
    stream_.expires_after(core_->limits_.read_timeout);
    ReadPart();
  }

  // Reads in parts, since the sum of the bodies of all sessions is limited. The timeout applies to
  // the whole message.
  void ReadPart() {
    beast_http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const beast::error_code& error, std::size_t) {
          self->buffered_.Set(self->parser_->get().body().size());
          if (error || self->parser_->is_done()) return self->OnMessage(error);
          if (self->core_->buffered_->bytes() > self->core_->limits_.total_body_bytes) {
            self->BeginReply();
            return self->Refuse(503, "too many large requests are being received");
          }
          self->ReadPart();
        });
  }

  void BeginReply() {
    replied_ = false;
    keep_alive_ = false;
    buffered_.Set(0);
  }

  void OnMessage(const beast::error_code& error) {
    BeginReply();
    if (error == beast_http::error::body_limit) return Refuse(413, "body too large");
    if (error == beast_http::error::header_limit || error == beast_http::error::buffer_overflow) {
      return Refuse(431, "header too large");
    }
    if (error == beast_http::error::end_of_stream || error == beast::error::timeout ||
        error.category() !=
            beast_http::make_error_code(beast_http::error::bad_version).category()) {
      if (error) return Close();
    }
    if (error) return Refuse(400, "malformed request");
    auto& message = parser_->get();
    if (message.find(beast_http::field::transfer_encoding) != message.end() && !message.chunked()) {
      return Refuse(400, "unknown transfer encoding");
    }
    keep_alive_ = message.keep_alive();
    admin_request request;
    request.method = message.method();
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    request.headers = message.base();
    core_->Dispatch(request, admin_reply(shared_from_this()));
  }

  void Refuse(int status, std::string_view reason) {
    Reply(admin_response{status, "text/plain", std::string(reason) + "\n"});
  }

  std::shared_ptr<admin_core> core_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser_;
  // The body of the response, to which response_ refers, and its bytes in the account.
  std::shared_ptr<const std::string> body_;
  std::unique_ptr<memory::memory_hold> hold_;
  beast_http::response<beast_http::span_body<const char>> response_;
  std::optional<beast_http::response_serializer<beast_http::span_body<const char>>> serializer_;
  // Bytes written since the write timer was started.
  std::size_t progress_bytes_ = 0;
  buffered_bytes buffered_;
  bool busy_ = false;
  bool keep_alive_ = false;
  bool replied_ = true;
  bool closed_ = false;
};

void admin_core::Accept(boost::asio::ip::tcp::socket socket) {
  // Connections above the limit are closed at once, so that idle clients can't exhaust the file
  // descriptors of the process.
  if (sessions_.size() >= limits_.connections) return;
  auto session = std::make_shared<admin_session>(shared_from_this(), std::move(socket));
  sessions_.insert(session);
  session->Read();
}

void admin_core::Dispatch(const admin_request& request, admin_reply reply) {
  const std::string_view target = request.target;
  const std::string_view path = target.substr(0, target.find('?'));
  const route* best_match = nullptr;
  bool path_known = false;
  for (const route& candidate : routes_) {
    if (!path.starts_with(candidate.path_prefix)) continue;
    path_known = true;
    if (candidate.method != request.method) continue;
    if (best_match == nullptr || candidate.path_prefix.size() > best_match->path_prefix.size()) {
      best_match = &candidate;
    }
  }
  if (best_match != nullptr) return best_match->handle(request, std::move(reply));
  if (path_known) return reply(admin_response{405, "text/plain", "method not allowed\n"});
  reply(admin_response{404, "text/plain", "not found\n"});
}

void admin_core::Remove(const std::shared_ptr<admin_session>& session) {
  sessions_.erase(session);
  if (!draining_ || !sessions_.empty() || !on_drained_) return;
  loop_.Post(std::exchange(on_drained_, nullptr));
}

void admin_core::Close() {
  on_drained_ = nullptr;
  if (listener_) listener_->Close();
  draining_ = true;
  const auto open = std::exchange(sessions_, {});
  for (const auto& session : open) session->Close();
}

void admin_core::BeginDrain(std::function<void()> done) {
  if (listener_) listener_->Close();
  draining_ = true;
  on_drained_ = std::move(done);
  const auto open = sessions_;
  for (const auto& session : open) session->CloseIfIdle();
  if (sessions_.empty() && on_drained_) loop_.Post(std::exchange(on_drained_, nullptr));
}

}  // namespace internal

admin_reply::admin_reply(std::shared_ptr<internal::admin_session> session)
    : session_(std::move(session)) {}

// NOLINTNEXTLINE(bugprone-exception-escape)
admin_reply::~admin_reply() {
  if (session_) {
    session_->Reply(admin_response{500, "text/plain", "the handler sent no response\n"});
  }
}

void admin_reply::operator()(admin_response response) {
  const auto session = std::exchange(session_, nullptr);
  if (session) session->Reply(std::move(response));
}

admin_server::admin_server(loop::event_loop& loop, admin_limits limits,
                           std::shared_ptr<memory::memory_account> memory)
    : core_(std::make_shared<internal::admin_core>(loop, limits, std::move(memory))) {}

// NOLINTNEXTLINE(bugprone-exception-escape)
admin_server::~admin_server() { core_->Close(); }

void admin_server::Handle(http::method method, std::string_view path_prefix, handler handle) {
  core_->routes_.push_back({method, std::string(path_prefix), std::move(handle)});
}

boost::leaf::result<void> admin_server::Listen(const kernel::endpoint& endpoint) {
  core_->listener_ = std::make_shared<internal::listener>(
      core_->loop_, [core = core_.get()](boost::asio::ip::tcp::socket socket) {
        core->Accept(std::move(socket));
      });
  return core_->listener_->Listen(endpoint);
}

kernel::endpoint admin_server::local_endpoint() const {
  return core_->listener_ ? core_->listener_->local_endpoint() : kernel::endpoint();
}

void admin_server::BeginDrain(std::function<void()> done) { core_->BeginDrain(std::move(done)); }

}  // namespace cornelweir::http
