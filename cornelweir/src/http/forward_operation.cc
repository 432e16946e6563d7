#include "cornelweir/src/http/forward_operation.h"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace cornelweir::http::internal {

namespace beast_http = boost::beast::http;

forward_operation::forward_operation(loop::event_loop& loop, connection_pool& pool,
                                     std::shared_ptr<caller_connection> caller,
                                     kernel::endpoint endpoint)
    : loop_(loop),
      pool_(pool),
      caller_(std::move(caller)),
      endpoint_(std::move(endpoint)),
      deadline_(loop) {}

void forward_operation::Start(const request_head& head, const header_list& extra_headers,
                              kernel::microseconds timeout, forward_callbacks callbacks,
                              bool body_available) {
  callbacks_ = std::move(callbacks);
  callbacks_.body_prefix_bytes = std::min(callbacks_.body_prefix_bytes, kMaxBodyPrefixBytes);
  is_head_request_ = head.method == http::method::head;
  const bool has_length = !head.Header("content-length").empty();
  static_cast<header_list&>(request_) = head.headers;
  RemoveHopByHopHeaders(request_);
  SetHeaders(request_, extra_headers);
  request_.method(head.method);
  request_.target(head.target);
  request_.version(11);
  if (head.chunked) {
    request_.chunked(true);
  } else if (has_length) {
    request_.content_length(*head.content_length);
  }
  request_serializer_.emplace(request_);

  if (!body_available) {
    result_.fault = http_fault::kCancelled;
    loop_.Post([self = shared_from_this()] { self->Finish(forward_status::kNotSent); });
    return;
  }
  deadline_.Start(timeout, [this] { OnTimeout(); });
  acquire_id_ = pool_.Acquire(
      endpoint_,
      [self = shared_from_this()](http_result<connection_pool::connection_ptr> acquired) {
        if (self->finished_) return;
        if (acquired) return self->OnConnection(std::move(acquired.value()));
        self->FailBeforeResponse(acquired.error().fault);
      });
}

void forward_operation::OnConnection(connection_pool::connection_ptr acquired) {
  connection_ = std::move(acquired);
  started_at_ = clock_.Now();
  connection_->reader.Begin(std::nullopt, is_head_request_);
  connection_->reader.SetRequestProgress(request_progress::kPartlyWritten);
  error_code error;
  const auto piece = caller_->TakeBufferedBody(error);
  if (error) return FailRequestBody(error);
  // From here on part of the request may have been sent; only a failed first write of 0 bytes
  // proves otherwise.
  result_.sent = true;
  WriteRequest(piece);
  ReadResponseHead();
}

namespace {

// Sets the next piece of a buffer_body message.
template <class Body, class Piece>
void SetPiece(Body& body, const Piece& piece) {
  body.more = !piece.last;
  // The serializer takes a pointer to mutable bytes but does not modify them.
  body.data = piece.bytes.empty() ? nullptr : const_cast<char*>(piece.bytes.data());
  body.size = piece.bytes.size();
}

}  // namespace

void forward_operation::WriteRequest(std::optional<caller_connection::body_piece> piece) {
  writing_request_ = true;
  auto on_written = [self = shared_from_this()](const error_code& error, std::size_t size) {
    self->OnRequestWritten(error, size);
  };
  if (!piece) {
    // No part of the body has arrived yet; the header is sent without waiting for it.
    request_.body().more = true;
    beast_http::async_write_header(connection_->socket, *request_serializer_,
                                   std::move(on_written));
    return;
  }
  SetPiece(request_.body(), *piece);
  beast_http::async_write(connection_->socket, *request_serializer_, std::move(on_written));
}

void forward_operation::OnRequestWritten(const error_code& error, std::size_t size) {
  writing_request_ = false;
  if (finished_) return;
  const bool failed = error && error != beast_http::error::need_buffer;
  const bool first = started_at_ != kernel::time_point() && !request_serializer_->is_header_done();
  if (failed && first && size == 0) {
    result_.sent = false;
    return FailBeforeResponse(http_fault::kConnectionBroken);
  }
  if (read_failed_) return FailBeforeResponse(result_.fault);
  // A server may respond and close before it has read the whole body: the read decides the result.
  if (failed) return;
  if (!request_.body().more) {
    connection_->reader.SetRequestProgress(request_progress::kWritten);
    return;
  }
  ReadRequestBody();
}

void forward_operation::ReadRequestBody() {
  caller_->ReadBody(
      [self = shared_from_this()](const error_code& error, caller_connection::body_piece piece) {
        if (self->finished_) return;
        if (error) return self->FailRequestBody(error);
        self->WriteRequest(piece);
      });
}

void forward_operation::ReadResponseHead() {
  connection_->reader.ReadHead(
      [self = shared_from_this()](const error_code& error) { self->OnResponseHead(error); });
}

void forward_operation::OnResponseHead(const error_code& error) {
  if (finished_) return;
  if (error) {
    result_.fault = FaultOfReadError(error);
    if (!writing_request_) return FailBeforeResponse(result_.fault);
    read_failed_ = true;
    connection_->Close();
    return;
  }
  if (HasOtherRequestId()) return FailBeforeResponse(http_fault::kMalformed);
  if (connection_->reader.message().status().is_interim()) return RelayInterimResponse();
  result_.latency = clock_.Now() - started_at_;
  result_.status = connection_->reader.message().status();
  BeginResponse();
}

// Whether the response belongs to another request, as far as the ids tell: a server may send a
// second copy of a response after the connection was used again.
bool forward_operation::HasOtherRequestId() const {
  const auto expected = request_[kRequestIdHeader];
  const auto received = connection_->reader.message().head()[kRequestIdHeader];
  return !expected.empty() && !received.empty() && expected != received;
}

void forward_operation::RelayInterimResponse() {
  const auto& head = connection_->reader.message().head();
  if (++interim_count_ > kMaxInterimResponses) return FailBeforeResponse(http_fault::kMalformed);
  const bool relayed = head.result() != beast_http::status::continue_;
  if (relayed) {
    interim_response_ = {};
    interim_response_.result(head.result_int());
    interim_response_.reason(head.reason());
    interim_response_.version(11);
    SetHeaders(interim_response_, head);
    RemoveHopByHopHeaders(interim_response_);
  }
  connection_->reader.Begin(std::nullopt, is_head_request_);
  // A 100 response is not relayed: the caller already received one when its body was requested.
  if (!relayed) return ReadResponseHead();
  beast_http::async_write(caller_->socket(), interim_response_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                            if (self->finished_) return;
                            if (error) return self->Finish(forward_status::kCallerGone);
                            self->ReadResponseHead();
                          });
}

void forward_operation::BeginResponse() {
  auto& reader = connection_->reader;
  static_cast<header_list&>(response_) =
      std::move(static_cast<header_list&>(reader.message().head()));
  RemoveHopByHopHeaders(response_);
  result_.headers = response_;
  if (callbacks_.accept_response && !callbacks_.accept_response(*result_.status, response_)) {
    if (finished_) return;
    // Consumes a body that has already arrived, so that the connection can be reused.
    error_code error;
    while (!error && !reader.done() && reader.TakeBuffered(error)) {
    }
    return Finish(forward_status::kDeclined);
  }
  if (finished_) return;
  error_code error;
  const auto piece = reader.TakeBuffered(error);
  if (error) return FailBeforeResponse(http_fault::kMalformed);

  response_.result(static_cast<unsigned>(result_.status->value()));
  response_.version(11);
  const bool bodiless = is_head_request_ || *result_.status == 204 || *result_.status == 304;
  if (!bodiless) {
    if (const auto length = reader.message().content_length()) {
      response_.content_length(*length);
    } else {
      response_.chunked(true);
    }
  }
  result_.responded = true;
  caller_->BeginResponse();
  if (callbacks_.on_response_head) callbacks_.on_response_head(*result_.status, response_);
  if (finished_) return;
  caller_keep_alive_ = caller_->CanKeepAlive();
  response_.keep_alive(caller_keep_alive_);
  response_serializer_.emplace(response_);
  WriteResponse(piece);
}

void forward_operation::WriteResponse(std::optional<response_piece> piece) {
  auto on_written = [self = shared_from_this()](const error_code& error, std::size_t) {
    self->OnResponseWritten(error);
  };
  response_done_ = piece && piece->last;
  if (!piece) {
    response_.body().more = true;
    beast_http::async_write_header(caller_->socket(), *response_serializer_, std::move(on_written));
    return;
  }
  SetPiece(response_.body(), *piece);
  AppendBodyPrefix(piece->bytes);
  beast_http::async_write(caller_->socket(), *response_serializer_, std::move(on_written));
}

void forward_operation::OnResponseWritten(const error_code& error) {
  if (finished_) return;
  if (error && error != beast_http::error::need_buffer) return Finish(forward_status::kCallerGone);
  if (response_done_) return Finish(forward_status::kComplete);
  ReadResponseBody();
}

void forward_operation::ReadResponseBody() {
  connection_->reader.ReadPiece(
      [self = shared_from_this()](const error_code& error, response_piece piece) {
        if (self->finished_) return;
        if (error) return self->Finish(forward_status::kBrokenDuringResponse);
        self->WriteResponse(piece);
      });
}

void forward_operation::AppendBodyPrefix(std::string_view bytes) {
  response_bytes_ += bytes.size();
  const std::size_t remaining = callbacks_.body_prefix_bytes - result_.body_prefix.size();
  result_.body_prefix.append(bytes.substr(0, remaining));
}

void forward_operation::FailBeforeResponse(http_fault fault) {
  result_.fault = fault;
  Finish(result_.sent ? forward_status::kBrokenBeforeResponse : forward_status::kNotSent);
}

void forward_operation::FailRequestBody(const error_code& error) {
  body_error_ = error;
  Finish(forward_status::kCallerGone);
}

void forward_operation::OnCallerGone() { Finish(forward_status::kCallerGone); }

void forward_operation::OnTimeout() {
  result_.fault = http_fault::kTimeout;
  Finish(result_.sent ? forward_status::kTimeout : forward_status::kNotSent);
}

void forward_operation::Finish(forward_status status) {
  if (finished_) return;
  finished_ = true;
  const auto self = shared_from_this();
  deadline_.Cancel();
  pool_.Cancel(acquire_id_);
  if (connection_) {
    const bool exchange_complete =
        status == forward_status::kComplete || status == forward_status::kDeclined;
    const bool reusable = exchange_complete && connection_->reader.IsReusable();
    pool_.Release(endpoint_, connection_, reusable);
    if (!result_.status && result_.sent) result_.latency = clock_.Now() - started_at_;
  }
  result_.outcome = status;
  result_.body_prefix_is_whole =
      status == forward_status::kComplete && response_bytes_ == result_.body_prefix.size();
  caller_->EndAttempt();
  if (status == forward_status::kCallerGone && body_error_ && !result_.responded) {
    caller_->RefuseBody(body_error_, result_.sent);
  } else if (status == forward_status::kCallerGone ||
             (result_.responded && status != forward_status::kComplete)) {
    caller_->EndExchange();
    caller_->Close();
  }
  {
    const forward_callbacks callbacks = std::exchange(callbacks_, {});
    if (callbacks.on_done) callbacks.on_done(result_);
  }
  if (status == forward_status::kComplete) return caller_->EndResponse(caller_keep_alive_);
  caller_->AnswerIfExchangeDropped();
}

}  // namespace cornelweir::http::internal
