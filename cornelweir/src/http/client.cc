#include "cornelweir/src/http/client.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "cornelweir/src/loop/timer.h"

namespace cornelweir::http {
namespace internal {

namespace beast_http = boost::beast::http;

// One request, from acquiring a connection to its result.
class client_operation : public std::enable_shared_from_this<client_operation> {
 public:
  client_operation(loop::event_loop& loop, std::shared_ptr<connection_pool> pool,
                   std::weak_ptr<client::owner_token> owner, kernel::endpoint endpoint,
                   std::size_t max_body_bytes, client::callback done)
      : pool_(std::move(pool)),
        owner_(std::move(owner)),
        endpoint_(std::move(endpoint)),
        max_body_bytes_(max_body_bytes),
        done_(std::move(done)),
        deadline_(loop) {}

  void Start(client_request request, kernel::microseconds timeout) {
    request_.method(request.method);
    request_.target(request.target);
    request_.version(11);
    SetHeaders(request_, request.headers);
    if (request_.find(beast_http::field::host) == request_.end()) {
      request_.set(beast_http::field::host, endpoint_.value());
    }
    request_.body() = std::move(request.body);
    request_.prepare_payload();
    deadline_.Start(timeout, [self = shared_from_this()] { self->Fail(http_fault::kTimeout); });
    acquire_id_ = pool_->Acquire(endpoint_,
                                 [self = shared_from_this()](http_result<connection_ptr> acquired) {
                                   if (!acquired) return self->Fail(acquired.error().fault);
                                   self->connection_ = acquired.value();
                                   self->Write();
                                 });
  }

 private:
  using connection_ptr = connection_pool::connection_ptr;

  void Write() {
    connection_->reader.Begin(max_body_bytes_, request_.method() == beast_http::verb::head);
    connection_->reader.SetRequestProgress(request_progress::kPartlyWritten);
    // From here on part of the request may have been sent, unless the write fails with 0 bytes.
    sent_ = true;
    beast_http::async_write(connection_->socket, request_,
                            [self = shared_from_this()](const error_code& error, std::size_t size) {
                              if (!self->finished_) self->OnWritten(error, size);
                            });
  }

  void OnWritten(const error_code& error, std::size_t size) {
    if (error && size == 0) {
      sent_ = false;
      return Fail(http_fault::kConnectionBroken);
    }
    // A server may respond and close before it has read the whole body, so after a partial write
    // the read determines the result.
    if (!error) connection_->reader.SetRequestProgress(request_progress::kWritten);
    ReadHead();
  }

  void ReadHead() {
    connection_->reader.ReadHead([self = shared_from_this()](const error_code& error) {
      if (self->finished_) return;
      if (error) return self->Fail(FaultOfReadError(error));
      auto& message = self->connection_->reader.message();
      if (message.status().is_interim()) {
        if (++self->interims_ > kMaxInterimResponses) return self->Fail(http_fault::kMalformed);
        self->connection_->reader.Begin(self->max_body_bytes_,
                                        self->request_.method() == beast_http::verb::head);
        return self->ReadHead();
      }
      self->response_.emplace(client_response{message.status(), std::move(message.head())});
      self->ReadBody();
    });
  }

  void ReadBody() {
    connection_->reader.ReadPiece(
        [self = shared_from_this()](const error_code& error, message_reader<false>::piece piece) {
          if (self->finished_) return;
          if (error) return self->Fail(FaultOfReadError(error));
          self->response_->body.append(piece.bytes);
          if (self->response_->body.size() > self->max_body_bytes_) {
            return self->Fail(http_fault::kTooLarge);
          }
          if (!piece.last) return self->ReadBody();
          const bool reusable = self->connection_->reader.IsReusable();
          self->Finish(*std::move(self->response_), reusable);
        });
  }

  void Fail(http_fault fault) { Finish(http_error{fault, sent_}, false); }

  void Finish(http_result<client_response> result, bool reusable) {
    if (finished_) return;
    finished_ = true;
    const auto self = shared_from_this();
    deadline_.Cancel();
    pool_->Cancel(acquire_id_);
    if (connection_) pool_->Release(endpoint_, connection_, reusable);
    const auto done = std::move(done_);
    if (!owner_.expired()) done(std::move(result));
  }

  std::shared_ptr<connection_pool> pool_;
  std::weak_ptr<client::owner_token> owner_;
  kernel::endpoint endpoint_;
  std::size_t max_body_bytes_;
  client::callback done_;
  loop::timer deadline_;
  connection_pool::acquire_id acquire_id_;
  connection_ptr connection_;
  beast_http::request<beast_http::string_body> request_;
  std::optional<client_response> response_;
  int interims_ = 0;
  bool sent_ = false;
  bool finished_ = false;
};

}  // namespace internal

client::client(loop::event_loop& loop, pool_limits limits, std::size_t max_body_bytes)
    : loop_(loop),
      pool_(std::make_shared<connection_pool>(loop, limits)),
      owner_(std::make_shared<owner_token>()),
      max_body_bytes_(max_body_bytes) {}

void client::Send(const kernel::endpoint& endpoint, client_request request,
                  kernel::microseconds timeout, callback done) {
  std::make_shared<internal::client_operation>(loop_, pool_, owner_, endpoint, max_body_bytes_,
                                               std::move(done))
      ->Start(std::move(request), timeout);
}

}  // namespace cornelweir::http
