#include "plugins/proxy/publisher_client.h"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"

namespace cornelweir::plugins::proxy {
namespace internal {

constexpr kernel::milliseconds kFirstBackoff{100};
constexpr kernel::milliseconds kLongestBackoff{5'000};
constexpr kernel::milliseconds kStatusPeriod{1'000};
// Versions whose time of application is kept for the status page.
constexpr std::size_t kMaxAppliedVersions = 64;

std::int64_t WallClockUs() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<kernel::microseconds>(since_epoch).count();
}

// Messages that the subscriber decides on. The others are for this client itself.
template <class Message>
concept downstream = std::constructible_from<distribution::downstream_message, const Message&>;

}  // namespace internal

publisher_client::publisher_client(daemon_context& context, handlers callbacks)
    : context_(context),
      handlers_(std::move(callbacks)),
      subscriber_(distribution::subscriber_builder()
                      .Service(context.settings.proxy->service)
                      .Host(context.settings.host)
                      .Nonce(kernel::nonce(context.random.NextU64()))
                      .Build()),
      backoff_(internal::kFirstBackoff),
      reconnect_timer_(context.loop),
      tick_timer_(context.loop),
      status_timer_(context.loop) {}

void publisher_client::Start() {
  // Daemons spread over the control hosts by chance.
  const std::size_t hosts = context_.settings.proxy->control_hosts.size();
  next_host_ = static_cast<std::size_t>(kernel::UniformBelow(context_.random, hosts));
  Connect();
  tick_timer_.StartPeriodic(distribution::kTickInterval, [this] { Tick(); });
  status_timer_.StartPeriodic(internal::kStatusPeriod, [this] { ReportStatus(); });
}

void publisher_client::Stop() {
  stopped_ = true;
  reconnect_timer_.Cancel();
  tick_timer_.Cancel();
  status_timer_.Cancel();
  if (link_) link_->Close("the process is shutting down");
}

void publisher_client::Connect() {
  const auto& hosts = context_.settings.proxy->control_hosts;
  const kernel::endpoint& host = hosts[next_host_++ % hosts.size()];
  const std::uint64_t generation = ++generation_;
  transport::link_handlers handlers;
  handlers.opened = [this, generation](const std::shared_ptr<transport::link>&) {
    if (generation == generation_) OnOpened();
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

// Full jitter spreads the reconnects of many daemons that lost the same control host.
void publisher_client::ConnectLater() {
  const auto bound = static_cast<std::uint64_t>(backoff_.count());
  const kernel::milliseconds delay(
      static_cast<std::int64_t>(kernel::UniformBelow(context_.random, bound + 1)));
  backoff_ = std::min(backoff_ * 2, internal::kLongestBackoff);
  reconnect_timer_.Start(delay, [this] { Connect(); });
}

void publisher_client::OnOpened() {
  Send(protocol::hello{protocol::kProtocolVersion, protocol::process_role::kProxy,
                       context_.settings.host});
  Send(subscriber_.Subscribe(context_.clock.Now()));
}

void publisher_client::OnMessage(std::string_view payload) {
  const auto decoded = codec::Decode<protocol::publisher_message>(payload);
  if (!decoded) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "malformed");
    link_->Close("malformed message");
    return;
  }
  handlers_.contact();
  std::visit(
      [this]<class Message>(const Message& message) {
        if constexpr (std::same_as<Message, protocol::submit_reply>) {
          const auto found = submissions_.find(message.id);
          if (found == submissions_.end()) return;
          const outcome_callback callback = std::move(found->second.callback);
          submissions_.erase(found);
          callback(message.outcome);
        } else if constexpr (std::same_as<Message, protocol::quarantined>) {
          handlers_.quarantined(message);
        } else if constexpr (internal::downstream<Message>) {
          Handle(subscriber_.OnMessage(message, context_.clock.Now()));
        }
      },
      decoded.value());
}

void publisher_client::OnClosed(std::uint64_t generation, const std::string& reason) {
  if (generation != generation_) return;
  logging::event(logging::event_id::kPublisherLost).With("reason", reason);
  if (link_) {
    closed_bytes_received_ += link_->bytes_received();
    closed_bytes_sent_ += link_->bytes_sent();
  }
  link_.reset();
  auto failed = std::exchange(submissions_, {});
  for (auto& [id, submission] : failed) submission.callback(std::nullopt);
  if (!stopped_) ConnectLater();
}

void publisher_client::Handle(const distribution::subscriber_result& result) {
  if (result.round) backoff_ = internal::kFirstBackoff;
  if (result.version_changed) {
    applied_versions_.push_back({subscriber_.version(), internal::WallClockUs()});
    if (applied_versions_.size() > internal::kMaxAppliedVersions) applied_versions_.pop_front();
    logging::event(logging::event_id::kVersionApplied).With("version", subscriber_.version());
  }
  if (result.refused) {
    logging::event(logging::event_id::kVersionRefused).With("version", *result.refused);
  }
  if (result.became_ready) {
    logging::event(logging::event_id::kFreshnessProved).With("version", subscriber_.version());
  }
  handlers_.changed(result);
  for (const distribution::upstream_message& message : result.send) {
    std::visit([this](const auto& body) { Send(body); }, message);
  }
  if (result.version_changed || result.became_ready) ReportStatus();
  if (result.moved && link_) link_->Close("the publisher sent this daemon elsewhere");
}

void publisher_client::Tick() {
  const kernel::time_point now = context_.clock.Now();
  ExpireSubmissions(now);
  if (!connected()) return;
  if (subscriber_.ShouldMove(now)) {
    link_->Close("the publisher brings no heartbeat");
    return;
  }
  Handle(subscriber_.Tick(now));
}

void publisher_client::ReportStatus() {
  Send(protocol::proxy_status{context_.settings.host, subscriber_.service(), subscriber_.version(),
                              subscriber_.revision(), subscriber_.ready()});
}

void publisher_client::Submit(control::command command, outcome_callback callback) {
  const std::uint64_t id = next_submission_++;
  if (!Send(protocol::submit{id, std::move(command)})) {
    callback(std::nullopt);
    return;
  }
  submissions_.emplace(id, pending_submission{context_.clock.Now() + protocol::kSubmissionTimeout,
                                              std::move(callback)});
}

void publisher_client::Renew(const protocol::lease_renewal& renewal) {
  Send(protocol::renew{{renewal}});
}

void publisher_client::ExpireSubmissions(kernel::time_point now) {
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
}

bool publisher_client::Send(const protocol::daemon_message& message) {
  return link_ && link_->Send(codec::Encode(message));
}

std::uint64_t publisher_client::control_bytes_received() const {
  return closed_bytes_received_ + (link_ ? link_->bytes_received() : 0);
}

std::uint64_t publisher_client::control_bytes_sent() const {
  return closed_bytes_sent_ + (link_ ? link_->bytes_sent() : 0);
}

}  // namespace cornelweir::plugins::proxy
