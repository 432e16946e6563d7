#include "cornelweir/src/http/proxy_core.h"

#include <utility>

namespace cornelweir::http::internal {

proxy_core::proxy_core(loop::event_loop& loop, connection_pool& pool, proxy_limits limits,
                       std::shared_ptr<memory::memory_account> memory, request_callback on_request,
                       refusal_callback on_refusal)
    : loop_(loop),
      pool_(pool),
      limits_(limits),
      memory_(std::move(memory)),
      on_request_(std::move(on_request)),
      on_refusal_(std::move(on_refusal)) {}

boost::leaf::result<void> proxy_core::Listen(const kernel::endpoint& endpoint) {
  listener_ = std::make_shared<listener>(
      loop_, [this](boost::asio::ip::tcp::socket socket) { Accept(std::move(socket)); });
  return listener_->Listen(endpoint);
}

kernel::endpoint proxy_core::local_endpoint() const {
  return listener_ ? listener_->local_endpoint() : kernel::endpoint();
}

void proxy_core::Accept(boost::asio::ip::tcp::socket socket) {
  // Connections above the limit are closed at once, so that callers can't exhaust the file
  // descriptors that connections to upstreams need.
  if (connections_.size() >= limits_.connections) return;
  auto accepted = std::make_shared<caller_connection>(shared_from_this(), std::move(socket));
  connections_.insert(accepted);
  accepted->Start();
}

void proxy_core::BeginDrain(std::function<void()> done) {
  on_drained_ = std::move(done);
  if (listener_) listener_->Close();
  draining_ = true;
  const auto open = connections_;
  for (const auto& each : open) each->BeginDrain();
  if (connections_.empty() && on_drained_) loop_.Post(std::exchange(on_drained_, nullptr));
}

void proxy_core::Close() {
  on_drained_ = nullptr;
  if (listener_) listener_->Close();
  draining_ = true;
  const auto open = connections_;
  for (const auto& each : open) each->Close();
}

void proxy_core::Remove(const std::shared_ptr<caller_connection>& closed) {
  connections_.erase(closed);
  if (draining_ && connections_.empty() && on_drained_) {
    loop_.Post(std::exchange(on_drained_, nullptr));
  }
}

}  // namespace cornelweir::http::internal
