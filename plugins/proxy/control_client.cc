#include "plugins/proxy/control_client.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/greeting.h"

namespace cornelweir::plugins::proxy {
namespace internal {

constexpr kernel::milliseconds kInitialBackoff{100};
constexpr kernel::milliseconds kMaxBackoff{5'000};
constexpr kernel::milliseconds kExpiryCheckPeriod{100};

}  // namespace internal

control_client::control_client(daemon_context& context, handlers callbacks)
    : context_(context),
      handlers_(std::move(callbacks)),
      backoff_(internal::kInitialBackoff),
      reconnect_timer_(context.loop),
      expiry_timer_(context.loop) {}

void control_client::Start() {
  // A random first host spreads the daemons over the control hosts.
  const std::size_t host_count = context_.settings.proxy->control_hosts.size();
  next_host_ = static_cast<std::size_t>(kernel::UniformBelow(context_.random, host_count));
  Connect();
  expiry_timer_.StartPeriodic(internal::kExpiryCheckPeriod, [this] { ExpireSubmissions(); });
}

void control_client::Stop() {
  stopped_ = true;
  reconnect_timer_.Cancel();
  expiry_timer_.Cancel();
  if (link_) link_->Close("the process is shutting down");
}

void control_client::Connect() {
  const auto& hosts = context_.settings.proxy->control_hosts;
  const kernel::endpoint& host = hosts[next_host_++ % hosts.size()];
  const std::uint64_t generation = ++generation_;
  transport::link_handlers handlers;
  handlers.opened = [this, generation](const std::shared_ptr<transport::link>&) {
    if (generation != generation_) return;
    Send(Greeting(protocol::process_role::kProxy, context_.settings.host));
    handlers_.opened();
  };
  handlers.message = [this, generation](const std::shared_ptr<transport::link>&,
                                        std::string_view payload) {
    if (generation == generation_) OnMessage(payload);
  };
  handlers.closed = [this, generation](const std::shared_ptr<transport::link>&,
                                       const std::string& reason) { OnClosed(generation, reason); };
  link_ =
      transport::link::Connect(context_.loop.context(), host, context_.tls, std::move(handlers));
}

// Full jitter spreads out the reconnects of the daemons that lost the same control host.
void control_client::ScheduleReconnect() {
  const auto max_delay_ms = static_cast<std::uint64_t>(backoff_.count());
  const kernel::milliseconds delay(
      static_cast<std::int64_t>(kernel::UniformBelow(context_.random, max_delay_ms + 1)));
  backoff_ = std::min(backoff_ * 2, internal::kMaxBackoff);
  reconnect_timer_.Start(delay, [this] { Connect(); });
}

void control_client::OnMessage(std::string_view payload) {
  const auto decoded = codec::Decode<protocol::publisher_message>(payload);
  if (!decoded) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "malformed");
    link_->Close("malformed message");
    return;
  }
  if (const auto* update = std::get_if<protocol::quarantine_update>(&decoded.value())) {
    backoff_ = internal::kInitialBackoff;
    handlers_.quarantine_updated(*update);
  } else if (const auto* reply = std::get_if<protocol::submit_reply>(&decoded.value())) {
    const auto found = submissions_.find(reply->id);
    if (found == submissions_.end()) return;
    const outcome_callback callback = std::move(found->second.callback);
    submissions_.erase(found);
    callback(reply->outcome);
  }
}

void control_client::OnClosed(std::uint64_t generation, const std::string& reason) {
  if (generation != generation_) return;
  logging::event(logging::event_id::kControlLinkLost).With("reason", reason);
  if (link_) {
    closed_link_bytes_received_ += link_->bytes_received();
    closed_link_bytes_sent_ += link_->bytes_sent();
  }
  link_.reset();
  auto unanswered = std::exchange(submissions_, {});
  for (auto& [id, submission] : unanswered) submission.callback(std::nullopt);
  if (!stopped_) ScheduleReconnect();
}

void control_client::Submit(control::command command, outcome_callback callback) {
  const std::uint64_t id = next_submission_++;
  if (!Send(protocol::submit{id, std::move(command)})) {
    callback(std::nullopt);
    return;
  }
  submissions_.emplace(id, pending_submission{context_.clock.Now() + protocol::kSubmissionTimeout,
                                              std::move(callback)});
}

void control_client::Renew(const protocol::lease_renewal& renewal) {
  Send(protocol::renew{{renewal}});
}

void control_client::Report(const protocol::proxy_status& status) { Send(status); }

void control_client::ExpireSubmissions() {
  const kernel::time_point now = context_.clock.Now();
  std::vector<outcome_callback> expired;
  for (auto next = submissions_.begin(); next != submissions_.end();) {
    if (next->second.expires_at > now) {
      ++next;
      continue;
    }
    expired.push_back(std::move(next->second.callback));
    next = submissions_.erase(next);
  }
  for (const outcome_callback& callback : expired) callback(std::nullopt);
  if (!expired.empty() && link_) link_->Close("no reply from the control host");
}

bool control_client::Send(const protocol::daemon_message& message) {
  return link_ && link_->Send(codec::Encode(message));
}

std::uint64_t control_client::bytes_received() const {
  return closed_link_bytes_received_ + (link_ ? link_->bytes_received() : 0);
}

std::uint64_t control_client::bytes_sent() const {
  return closed_link_bytes_sent_ + (link_ ? link_->bytes_sent() : 0);
}

}  // namespace cornelweir::plugins::proxy
