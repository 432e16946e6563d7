#include "cornelweir/src/http/pipeline_core.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/pipeline_connection.h"

namespace cornelweir::http::internal {
namespace {

// Resolution of the timeouts of connections.
constexpr kernel::milliseconds kTimeoutCheckPeriod{250};

}  // namespace

pipeline_core::pipeline_core(loop::event_loop& loop, pipeline_server::handler handler,
                             pipeline_server::refusal_builder refusal_builder)
    : handle_request(std::move(handler)),
      build_refusal(std::move(refusal_builder)),
      loop_(loop),
      timeout_timer_(loop) {}

boost::leaf::result<void> pipeline_core::Listen(const kernel::endpoint& endpoint) {
  listener_ = std::make_shared<listener>(
      loop_, [this](boost::asio::ip::tcp::socket socket) { Accept(std::move(socket)); });
  BOOST_LEAF_CHECK(listener_->Listen(endpoint));
  timeout_timer_.StartPeriodic(kTimeoutCheckPeriod, [this] { CheckTimeouts(); });
  return {};
}

kernel::endpoint pipeline_core::local_endpoint() const {
  return listener_ ? listener_->local_endpoint() : kernel::endpoint();
}

void pipeline_core::Accept(boost::asio::ip::tcp::socket socket) {
  // Connections above the limit are closed at once, before anything is read from them.
  if (connections_.size() >= limits.connections) return;
  loop::ConfigureTcpSocket(socket, kTcpKeepaliveOptions);
  auto accepted = std::make_shared<pipeline_connection>(shared_from_this(), std::move(socket));
  connections_.insert(accepted);
  accepted->Start();
}

void pipeline_core::CheckTimeouts() {
  const std::vector<std::shared_ptr<pipeline_connection>> open(connections_.begin(),
                                                               connections_.end());
  const kernel::time_point now = Now();
  for (const auto& connection : open) connection->CheckTimeouts(now);
  CloseSlowReaders(now);
}

// The memory of a closed connection is returned once its aborted write has ended, so what has been
// given up is counted here.
void pipeline_core::CloseSlowReaders(kernel::time_point now) {
  if (account == nullptr || !account->IsScarce()) return;
  std::vector<std::pair<double, std::shared_ptr<pipeline_connection>>> slow;
  for (const auto& connection : connections_) {
    const kernel::microseconds age = connection->WriteAge(now);
    if (age <= limits.slow_read_time || connection->unwritten_bytes() == 0) continue;
    slow.emplace_back(
        static_cast<double>(connection->unwritten_bytes()) * static_cast<double>(age.count()),
        connection);
  }
  std::sort(slow.begin(), slow.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
  std::int64_t excess = account->ExcessBytes().value();
  for (const auto& [score, connection] : slow) {
    if (excess <= 0) return;
    excess -= static_cast<std::int64_t>(connection->unwritten_bytes());
    ++slow_readers.scarce_memory;
    connection->Close();
  }
}

void pipeline_core::Remove(const std::shared_ptr<pipeline_connection>& connection) {
  connections_.erase(connection);
  if (draining_ && connections_.empty() && on_drained_) {
    loop_.Post(std::exchange(on_drained_, nullptr));
  }
}

void pipeline_core::DisableKeepAlive() {
  if (keep_alive_disabled_) return;
  keep_alive_disabled_ = true;
  for (const auto& connection : connections_) connection->BeginStop();
}

void pipeline_core::BeginDrain(std::function<void()> done) {
  draining_ = true;
  DisableKeepAlive();
  on_drained_ = std::move(done);
  if (listener_) listener_->Close();
  const std::vector<std::shared_ptr<pipeline_connection>> open(connections_.begin(),
                                                               connections_.end());
  for (const auto& connection : open) connection->CloseIfIdle();
  if (connections_.empty() && on_drained_) loop_.Post(std::exchange(on_drained_, nullptr));
}

void pipeline_core::Close() {
  timeout_timer_.Cancel();
  on_drained_ = nullptr;
  handle_request = nullptr;
  if (listener_) listener_->Close();
  const auto open = std::exchange(connections_, {});
  for (const auto& connection : open) connection->Close();
}

}  // namespace cornelweir::http::internal
