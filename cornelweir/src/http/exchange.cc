#include "cornelweir/src/http/exchange.h"

#include <utility>

#include "cornelweir/src/http/caller_connection.h"

namespace cornelweir::http {

exchange::exchange(std::shared_ptr<internal::caller_connection> connection)
    : connection_(std::move(connection)) {}

exchange::~exchange() {
  if (connection_) connection_->AnswerDroppedExchange();
}

void exchange::OnCallerGone(std::function<void()> callback) {
  if (connection_) on_caller_gone_ = std::move(callback);
}

void exchange::Refuse(status_code status, std::string body, header_list headers) {
  Respond(local_response{status, std::move(headers), std::move(body)});
}

void exchange::Respond(local_response response) {
  // The connection may detach this exchange, which clears connection_, while it responds.
  const auto connection = connection_;
  if (connection) connection->Respond(std::move(response));
}

void exchange::ForwardTo(const kernel::endpoint& endpoint, const header_list& extra_headers,
                         kernel::microseconds timeout, forward_callbacks callbacks) {
  const auto connection = connection_;
  if (connection) connection->Forward(endpoint, extra_headers, timeout, std::move(callbacks));
}

std::string_view exchange::RetainedBody() const {
  return connection_ ? connection_->retained_body() : std::string_view();
}

bool exchange::CanRetry() const { return connection_ && connection_->CanRetry(); }

}  // namespace cornelweir::http
