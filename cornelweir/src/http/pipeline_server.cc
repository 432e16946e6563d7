#include "cornelweir/src/http/pipeline_server.h"

#include <utility>

#include "cornelweir/src/http/pipeline_connection.h"
#include "cornelweir/src/http/pipeline_core.h"

namespace cornelweir::http {

void pipeline_request::Respond(whole_response response) {
  if (answered_) return;
  ExpectResponse(0);
  answered_ = true;
  on_caller_gone_ = nullptr;
  response_ = std::move(response);
  if (const auto connection = connection_.lock()) connection->OnAnswered(*this);
}

void pipeline_request::ExpectResponse(std::size_t bytes) {
  if (answered_) return;
  const std::size_t before = std::exchange(expected_bytes_, bytes);
  if (const auto connection = connection_.lock()) connection->OnExpected(before, bytes);
}

pipeline_server::pipeline_server(loop::event_loop& loop, handler handle_request,
                                 refusal_builder build_refusal)
    : core_(std::make_shared<internal::pipeline_core>(loop, std::move(handle_request),
                                                      std::move(build_refusal))) {}

pipeline_server::~pipeline_server() { core_->Close(); }

boost::leaf::result<void> pipeline_server::Listen(const kernel::endpoint& endpoint) {
  return core_->Listen(endpoint);
}

kernel::endpoint pipeline_server::local_endpoint() const { return core_->local_endpoint(); }

void pipeline_server::SetLimits(const pipeline_limits& limits) { core_->limits = limits; }

void pipeline_server::DisableKeepAlive() { core_->DisableKeepAlive(); }

void pipeline_server::BeginDrain(std::function<void()> done) { core_->BeginDrain(std::move(done)); }

void pipeline_server::UseMemory(std::shared_ptr<const memory::memory_account> account) {
  core_->account = std::move(account);
}

const slow_reader_counts& pipeline_server::slow_readers() const { return core_->slow_readers; }

const byte_counts& pipeline_server::traffic() const { return core_->traffic; }

std::size_t pipeline_server::connections() const { return core_->connections(); }

}  // namespace cornelweir::http
