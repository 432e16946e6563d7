#include "plugins/proxy/subscription.h"

#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/greeting.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::proxy {
namespace internal {

// Number of versions whose time of application the status page lists.
constexpr std::size_t kMaxAppliedVersions = 64;

distribution::relay MakeRelay(daemon_context& context) {
  distribution::subscriber own_subscriber =
      distribution::subscriber_builder()
          .Service(context.settings.proxy->service)
          .Host(context.settings.host)
          .ControlEndpoint(context.settings.proxy->mesh_listen)
          .Nonce(kernel::nonce(context.random.NextU64()))
          .Build();
  return {std::move(own_subscriber), kernel::nonce(context.random.NextU64())};
}

// Converts a variant to a narrower one, or returns std::nullopt if that lacks the message's type.
template <class To, class... From>
std::optional<To> NarrowVariant(const std::variant<From...>& message) {
  return std::visit(
      []<class Message>(const Message& body) -> std::optional<To> {
        if constexpr (std::constructible_from<To, const Message&>) {
          return To(body);
        } else {
          return std::nullopt;
        }
      },
      message);
}

// Converts a variant to one that has all of its types.
template <class To, class... From>
To WidenVariant(const std::variant<From...>& message) {
  return std::visit([](const auto& body) { return To(body); }, message);
}

}  // namespace internal

subscription::subscription(daemon_context& context, handlers callbacks)
    : context_(context),
      handlers_(std::move(callbacks)),
      relay_(internal::MakeRelay(context)),
      reconnect_policy_(context.settings.proxy->control_hosts,
                        kernel::seeded_random(context.random.NextU64())),
      reconnect_timer_(context.loop),
      tick_timer_(context.loop) {}

boost::leaf::result<void> subscription::Listen() {
  transport::link_handlers handlers;
  handlers.message = [this](const std::shared_ptr<transport::link>& link,
                            std::string_view payload) { OnChildMessage(link, payload); };
  handlers.closed = [this](const std::shared_ptr<transport::link>& link, const std::string&) {
    OnChildClosed(link);
  };
  BOOST_LEAF_ASSIGN(listener_, transport::listener::Open(context_.loop.context(),
                                                         context_.settings.proxy->mesh_listen,
                                                         context_.tls, std::move(handlers)));
  return {};
}

void subscription::Start() {
  ScheduleConnect();
  tick_timer_.StartPeriodic(distribution::kTickInterval, [this] { Tick(); });
}

void subscription::Stop() {
  stopped_ = true;
  reconnect_timer_.Cancel();
  tick_timer_.Cancel();
  if (listener_) listener_->Close();
  if (link_) link_->Close("the process is shutting down");
}

void subscription::ScheduleConnect() {
  if (stopped_) return;
  const distribution::next_publisher next = reconnect_policy_.Next();
  publisher_ = next.endpoint;
  reconnect_timer_.Start(next.delay, [this] { Connect(); });
}

void subscription::Connect() {
  heartbeat_received_ = false;
  const std::uint64_t generation = ++generation_;
  transport::link_handlers handlers;
  handlers.opened = [this, generation](const std::shared_ptr<transport::link>&) {
    if (generation != generation_) return;
    Send(Greeting(protocol::process_role::kProxy, context_.settings.host));
    Send(relay_.Subscribe(context_.clock.Now(), reconnect_policy_.failed_relays()));
  };
  handlers.message = [this, generation](const std::shared_ptr<transport::link>&,
                                        std::string_view payload) {
    if (generation == generation_) OnMessage(payload);
  };
  handlers.closed = [this, generation](const std::shared_ptr<transport::link>&,
                                       const std::string& reason) { OnClosed(generation, reason); };
  link_ = transport::link::Connect(context_.loop.context(), publisher_, context_.tls,
                                   std::move(handlers));
}

void subscription::OnMessage(std::string_view payload) {
  const auto decoded = codec::Decode<protocol::publisher_message>(payload);
  if (!decoded) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "malformed");
    link_->Close("malformed message");
    return;
  }
  const auto message = internal::NarrowVariant<distribution::publisher_message>(decoded.value());
  if (!message) return;
  const distribution::relay_result result =
      relay_.OnPublisherMessage(*message, context_.clock.Now());
  handlers_.publisher_contact();
  if (result.changes.new_round) {
    if (!heartbeat_received_) {
      logging::event(logging::event_id::kPublisherConnected).With("publisher", publisher_);
    }
    heartbeat_received_ = true;
    reconnect_policy_.OnHealthy();
  }
  ApplyResult(result);
  if (!result.changes.redirection) return;
  reconnect_policy_.OnRedirect(*result.changes.redirection);
  ++generation_;
  closed_link_bytes_received_ += link_->bytes_received();
  closed_link_bytes_sent_ += link_->bytes_sent();
  std::exchange(link_, nullptr)->Close("redirected");
  ScheduleConnect();
}

void subscription::OnClosed(std::uint64_t generation, const std::string& reason) {
  if (generation != generation_) return;
  logging::event(logging::event_id::kPublisherLost)
      .With("publisher", publisher_)
      .With("reason", reason);
  if (link_) {
    closed_link_bytes_received_ += link_->bytes_received();
    closed_link_bytes_sent_ += link_->bytes_sent();
  }
  link_.reset();
  heartbeat_received_ = false;
  reconnect_policy_.OnFailure();
  ScheduleConnect();
}

void subscription::OnChildMessage(const std::shared_ptr<transport::link>& link,
                                  std::string_view payload) {
  const auto known = children_.find(link.get());
  if (known == children_.end()) {
    if (!ReadGreeting(*link, payload, context_.tls != nullptr)) {
      link->Close("greeting refused");
      return;
    }
    const distribution::subscriber_id id(next_child_id_++);
    children_[link.get()] = child{link, id};
    child_links_by_id_[id] = link.get();
    return;
  }
  const auto decoded = codec::Decode<protocol::daemon_message>(payload);
  const auto message =
      decoded ? internal::NarrowVariant<distribution::subscriber_message>(decoded.value())
              : std::nullopt;
  if (!message) {
    link->Close("malformed message");
    return;
  }
  ApplyResult(
      relay_.OnChildMessage(known->second.id, *message, context_.clock.Now(), context_.random));
}

void subscription::OnChildClosed(const std::shared_ptr<transport::link>& link) {
  const auto found = children_.find(link.get());
  if (found == children_.end()) return;
  const distribution::subscriber_id id = found->second.id;
  closed_child_bytes_sent_ += link->bytes_sent();
  child_links_by_id_.erase(id);
  children_.erase(found);
  ApplyResult(relay_.OnDisconnect(id, context_.clock.Now()));
}

void subscription::ApplyResult(const distribution::relay_result& result) {
  RecordChanges(result.changes);
  handlers_.state_changed(result.changes);
  for (const distribution::subscriber_message& message : result.to_publisher) {
    Send(internal::WidenVariant<protocol::daemon_message>(message));
  }
  for (const distribution::outgoing& outgoing : result.to_children) {
    const auto found = child_links_by_id_.find(outgoing.recipient);
    if (found == child_links_by_id_.end()) continue;
    children_.at(found->second)
        .link->Send(
            codec::Encode(internal::WidenVariant<protocol::publisher_message>(outgoing.message)));
  }
}

void subscription::RecordChanges(const distribution::subscriber_result& result) {
  if (result.version_changed) {
    applied_versions_.push_back({subscriber().version(), SinceEpoch().count()});
    if (applied_versions_.size() > internal::kMaxAppliedVersions) applied_versions_.pop_front();
    logging::event(logging::event_id::kVersionApplied).With("version", subscriber().version());
  }
  if (result.refused_version) {
    logging::event(logging::event_id::kVersionRefused).With("version", *result.refused_version);
  }
  if (result.became_ready) {
    logging::event(logging::event_id::kFreshnessProved).With("version", subscriber().version());
  }
}

void subscription::Tick() {
  const kernel::time_point now = context_.clock.Now();
  if (link_ && link_->is_open() && relay_.HasHeartbeatTimedOut(now)) {
    link_->Close("heartbeat from the publisher timed out");
  }
  ApplyResult(relay_.Tick(now));
}

void subscription::Send(const protocol::daemon_message& message) {
  if (link_) link_->Send(codec::Encode(message));
}

std::uint64_t subscription::bytes_received() const {
  return closed_link_bytes_received_ + (link_ ? link_->bytes_received() : 0);
}

std::uint64_t subscription::bytes_sent() const {
  return closed_link_bytes_sent_ + (link_ ? link_->bytes_sent() : 0);
}

std::uint64_t subscription::bytes_sent_to_children() const {
  std::uint64_t total = closed_child_bytes_sent_;
  for (const auto& [link, child] : children_) total += link->bytes_sent();
  return total;
}

}  // namespace cornelweir::plugins::proxy
