#include "cornelweir/src/http/caller_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "cornelweir/src/http/connection.h"
#include "cornelweir/src/http/forward_operation.h"
#include "cornelweir/src/http/proxy_core.h"
#include "cornelweir/src/http/request_check.h"

namespace cornelweir::http::internal {

namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

namespace {

// Bytes that a caller may send after the last response on its connection.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{1} << 20;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

caller_connection::caller_connection(std::shared_ptr<proxy_core> core,
                                     boost::asio::ip::tcp::socket socket)
    : core_(std::move(core)),
      socket_(std::move(socket)),
      reader_(socket_, core_->limits().header_bytes),
      timer_(core_->event_loop()) {
  if (!core_->memory()) return;
  hold_ =
      std::make_unique<memory::memory_hold>(core_->memory(), memory::memory_use::kCallerRequests);
}

void caller_connection::Start() { AwaitRequest(); }

bool caller_connection::TakeRoom(std::size_t retained_bytes) {
  const std::size_t bytes = kForwardedRequestBytes + retained_bytes;
  return !hold_ || hold_->Resize(kernel::byte_count(static_cast<std::int64_t>(bytes)));
}

void caller_connection::ReleaseRequest() {
  retained_body_ = {};
  retained_offset_ = 0;
  if (hold_) hold_->Resize(kernel::byte_count(0));
}

void caller_connection::AwaitRequest() {
  phase_ = phase::kIdle;
  ReleaseRequest();
  if (reader_.has_buffered_bytes()) return ReadHead();
  if (draining_ && Peek(socket_) != socket_state::kReadable) return Close();
  ArmTimer(core_->limits().idle_timeout);
  AwaitInput();
}

// Waits for readability. Between requests it indicates the next request; during a request it
// detects that the caller has closed its connection.
void caller_connection::AwaitInput() {
  if (read_wait_pending_) return;
  read_wait_pending_ = true;
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code&) {
                       self->read_wait_pending_ = false;
                       self->OnReadable();
                     });
}

void caller_connection::OnReadable() {
  if (phase_ == phase::kIdle) return ReadHead();
  if (phase_ != phase::kExchange || reading_body_) return;
  switch (Peek(socket_)) {
    case socket_state::kClosed:
      return Close();
    case socket_state::kEmpty:
      return AwaitInput();
    case socket_state::kReadable:
      // Body bytes or the next request; waiting again would complete at once.
      return;
  }
}

void caller_connection::ReadHead() {
  phase_ = phase::kHead;
  ArmTimer(core_->limits().read_timeout);
  reader_.Begin(core_->limits().body_bytes, false);
  reader_.ReadHead([self = shared_from_this()](const error_code& error) { self->OnHead(error); });
}

void caller_connection::OnHead(const error_code& error) {
  if (phase_ != phase::kHead) return;
  is_head_request_ = false;
  if (error) {
    const auto status = StatusOfReadError(error);
    if (!status) return Close();
    return RefuseAndClose(*status, "the request header can't be read", false);
  }
  auto& parser = reader_.message();
  const request_fault fault = CheckRequestHead(parser.get());
  if (fault.status) return RefuseAndClose(*fault.status, fault.reason, false);
  if (!TakeRoom(0)) return RefuseAndClose(503, "too many requests are in progress", false);

  timer_.Cancel();
  phase_ = phase::kExchange;
  response_begun_ = false;
  keep_alive_ = parser.keep_alive();
  retained_body_.clear();
  retained_offset_ = 0;
  retaining_body_ = true;
  undelivered_piece_.reset();

  auto& message = parser.get();
  const auto request = std::make_shared<exchange>(shared_from_this());
  request->head_.method = message.method();
  request->head_.target = std::string(message.target());
  request->head_.chunked = parser.chunked();
  if (const auto length = parser.content_length()) request->head_.content_length = *length;
  if (!request->head_.chunked && !request->head_.content_length) request->head_.content_length = 0;
  request->head_.headers = std::move(static_cast<header_list&>(message));
  is_head_request_ = request->head_.method == http::method::head;
  expects_continue_ = request->head_.has_body() && !request->head_.Header("expect").empty();
  exchange_ = request;
  AwaitInput();
  core_->Dispatch(request);
}

bool caller_connection::CanAnswer() const {
  return phase_ == phase::kExchange && !attempt_ && !response_begun_;
}

void caller_connection::Respond(local_response response) {
  if (!CanAnswer()) return;
  EndExchange();
  // Consumes a body that has already arrived, so that a refused small request does not require the
  // connection to be closed.
  error_code error;
  while (!error && !reading_body_ && !reader_.done() && reader_.TakeBuffered(error)) {
  }
  WriteResponse(std::move(response), !error && !reading_body_ && CanKeepAlive());
}

void caller_connection::Forward(const kernel::endpoint& endpoint, const header_list& extra_headers,
                                kernel::microseconds timeout, forward_callbacks callbacks) {
  const auto request = exchange_.lock();
  if (!CanAnswer() || !request) return;
  attempt_ = std::make_shared<forward_operation>(core_->event_loop(), core_->pool(),
                                                 shared_from_this(), endpoint);
  attempt_->Start(request->head(), extra_headers, timeout, std::move(callbacks), retaining_body_);
}

bool caller_connection::CanRetry() const { return CanAnswer() && retaining_body_; }

void caller_connection::AnswerDroppedExchange() {
  if (CanAnswer()) Respond(local_response{500, {}, "the handler sent no response\n"});
}

void caller_connection::AnswerIfExchangeDropped() {
  if (exchange_.expired()) AnswerDroppedExchange();
}

void caller_connection::EndAttempt() {
  attempt_ = nullptr;
  body_callback_ = nullptr;
  retained_offset_ = 0;
}

void caller_connection::EndExchange() {
  const auto self = shared_from_this();
  if (const auto request = exchange_.lock()) {
    request->connection_ = nullptr;
    request->on_caller_gone_ = nullptr;
  }
  exchange_.reset();
}

std::optional<caller_connection::body_piece> caller_connection::TakeBufferedBody(
    error_code& error) {
  if (retained_offset_ < retained_body_.size()) {
    const std::string_view retained = retained_body_;
    const std::string_view bytes = retained.substr(retained_offset_, kStreamBufferBytes);
    retained_offset_ += bytes.size();
    const bool all_read = reader_.done() && !undelivered_piece_;
    return body_piece{bytes, all_read && retained_offset_ == retained_body_.size()};
  }
  if (undelivered_piece_) {
    const body_piece piece = *undelivered_piece_;
    error = undelivered_error_;
    undelivered_piece_.reset();
    RetainBody(piece);
    return piece;
  }
  if (reading_body_) return std::nullopt;
  const auto piece = reader_.TakeBuffered(error);
  if (piece) RetainBody(*piece);
  return piece;
}

void caller_connection::ReadBody(body_callback callback) {
  error_code error;
  if (const auto piece = TakeBufferedBody(error)) return callback(error, *piece);
  body_callback_ = std::move(callback);
  if (reading_body_) return;
  reading_body_ = true;
  ArmTimer(core_->limits().read_timeout);
  if (std::exchange(expects_continue_, false)) {
    // No response has been written yet, so these few bytes fit into the socket's send buffer.
    boost::asio::write(socket_, boost::asio::buffer(kContinue), error);
  }
  reader_.ReadPiece([self = shared_from_this()](const error_code& read_error, body_piece piece) {
    self->OnBodyPiece(read_error, piece);
  });
}

void caller_connection::OnBodyPiece(const error_code& error, body_piece piece) {
  reading_body_ = false;
  if (phase_ != phase::kExchange) return;
  timer_.Cancel();
  if (!error && piece.last) AwaitInput();
  if (const auto callback = std::exchange(body_callback_, nullptr)) {
    if (!error) RetainBody(piece);
    callback(error, piece);
  } else {
    undelivered_piece_ = piece;
    undelivered_error_ = error;
  }
}

void caller_connection::RetainBody(body_piece piece) {
  if (!retaining_body_) return;
  const std::size_t bytes = retained_body_.size() + piece.bytes.size();
  // Without room the request is still forwarded, but only once.
  if (bytes > kMaxRetainedBodyBytes || !TakeRoom(bytes)) return StopRetaining();
  retained_body_.append(piece.bytes);
  retained_offset_ = retained_body_.size();
}

void caller_connection::StopRetaining() {
  retaining_body_ = false;
  retained_body_ = {};
  retained_offset_ = 0;
  TakeRoom(0);
}

void caller_connection::RefuseBody(const error_code& error, bool sent) {
  if (!CanAnswer()) return;
  const auto status = StatusOfReadError(error);
  if (!status) return Close();
  EndExchange();
  RefuseAndClose(*status, "the request body can't be read", sent);
}

bool caller_connection::CanKeepAlive() const { return keep_alive_ && !draining_ && reader_.done(); }

void caller_connection::EndResponse(bool keep_alive) {
  if (phase_ != phase::kExchange) return;
  EndExchange();
  if (keep_alive) return AwaitRequest();
  Linger();
}

void caller_connection::RefuseAndClose(status_code status, std::string_view reason, bool sent) {
  local_response response;
  response.status = status;
  response.body = std::string(reason) + "\n";
  core_->AddRefusalHeaders(sent, response.headers);
  WriteResponse(std::move(response), false);
}

void caller_connection::WriteResponse(local_response response, bool keep_alive) {
  phase_ = phase::kResponding;
  response_ = {};
  response_.version(11);
  response_.result(static_cast<unsigned>(response.status.value()));
  SetHeaders(response_, response.headers);
  RemoveHopByHopHeaders(response_);
  const bool bodiless = response.status == 204 || response.status == 304;
  if (!bodiless) response_.body() = std::move(response.body);
  if (!response_.body().empty() && response_.count(beast_http::field::content_type) == 0) {
    response_.set(beast_http::field::content_type, "text/plain");
  }
  response_.prepare_payload();
  if (is_head_request_) response_.body().clear();
  response_.keep_alive(keep_alive);
  ArmTimer(core_->limits().write_timeout);
  beast_http::async_write(
      socket_, response_,
      [self = shared_from_this(), keep_alive](const error_code& error, std::size_t) {
        if (self->phase_ != phase::kResponding) return;
        if (error) return self->Close();
        if (keep_alive) return self->AwaitRequest();
        self->Linger();
      });
}

// Closing a socket with unread bytes resets the connection, which may discard a response that the
// caller has not read yet. The remaining input is therefore read first.
void caller_connection::Linger() {
  phase_ = phase::kLingering;
  error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  const bool nothing_unread = reader_.done() && !reader_.has_buffered_bytes();
  if (nothing_unread && Peek(socket_) != socket_state::kReadable) return Close();
  discarded_bytes_ = 0;
  ArmTimer(core_->limits().linger_timeout);
  DiscardInput();
}

void caller_connection::DiscardInput() {
  socket_.async_read_some(boost::asio::buffer(discard_buffer_),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                            if (self->phase_ != phase::kLingering) return;
                            self->discarded_bytes_ += size;
                            if (error || self->discarded_bytes_ > kMaxDiscardedBytes) {
                              return self->Close();
                            }
                            self->DiscardInput();
                          });
}

void caller_connection::ArmTimer(kernel::microseconds delay) {
  // This object owns the timer, so the callback can't run after its destruction.
  timer_.Start(delay, [this] { OnTimeout(); });
}

void caller_connection::OnTimeout() {
  const auto self = shared_from_this();
  switch (phase_) {
    case phase::kHead:
      is_head_request_ = false;
      return RefuseAndClose(408, "the request header took too long", false);
    case phase::kExchange:
      if (const auto callback = std::exchange(body_callback_, nullptr)) {
        callback(boost::asio::error::timed_out, {});
      }
      return;
    case phase::kIdle:
    case phase::kResponding:
    case phase::kLingering:
      return Close();
    case phase::kClosed:
      return;
  }
}

void caller_connection::BeginDrain() {
  draining_ = true;
  // A request that has arrived but has not been read yet is still served.
  if (phase_ == phase::kIdle && Peek(socket_) != socket_state::kReadable) Close();
}

void caller_connection::Close() {
  if (phase_ == phase::kClosed) return;
  const auto self = shared_from_this();
  phase_ = phase::kClosed;
  timer_.Cancel();
  error_code ignored;
  socket_.close(ignored);
  if (hold_) hold_->Resize(kernel::byte_count(0));
  std::function<void()> on_caller_gone;
  if (const auto request = exchange_.lock()) on_caller_gone = request->on_caller_gone_;
  EndExchange();
  if (const auto attempt = std::exchange(attempt_, nullptr)) {
    attempt->OnCallerGone();
  } else if (on_caller_gone) {
    on_caller_gone();
  }
  core_->Remove(self);
}

}  // namespace cornelweir::http::internal
