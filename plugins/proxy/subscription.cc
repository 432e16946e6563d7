#include "plugins/proxy/subscription.h"

#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/greeting.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::proxy {
namespace internal {

// Versions whose time of application is kept for the status page.
constexpr std::size_t kMaxAppliedVersions = 64;

distribution::relay MakeRelay(daemon_context& context) {
  distribution::subscriber own = distribution::subscriber_builder()
                                     .Service(context.settings.proxy->service)
                                     .Host(context.settings.host)
                                     .ControlEndpoint(context.settings.proxy->mesh_listen)
                                     .Nonce(kernel::nonce(context.random.NextU64()))
                                     .Build();
  return {std::move(own), kernel::nonce(context.random.NextU64())};
}

// Turns a message of one variant into the same message of another one, or nothing.
template <class To, class... From>
std::optional<To> Narrow(const std::variant<From...>& message) {
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

template <class To, class... From>
To Widen(const std::variant<From...>& message) {
  return std::visit([](const auto& body) { return To(body); }, message);
}

}  // namespace internal

subscription::subscription(daemon_context& context, handlers callbacks)
    : context_(context),
      handlers_(std::move(callbacks)),
      relay_(internal::MakeRelay(context)),
      policy_(context.settings.proxy->control_hosts,
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
  ConnectNext();
  tick_timer_.StartPeriodic(distribution::kTickInterval, [this] { Tick(); });
}

void subscription::Stop() {
  stopped_ = true;
  reconnect_timer_.Cancel();
  tick_timer_.Cancel();
  if (listener_) listener_->Close();
  if (link_) link_->Close("the process is shutting down");
}

void subscription::ConnectNext() {
  if (stopped_) return;
  const distribution::next_publisher next = policy_.Next();
  publisher_ = next.endpoint;
  reconnect_timer_.Start(next.delay, [this] { Connect(); });
}

void subscription::Connect() {
  served_ = false;
  const std::uint64_t generation = ++generation_;
  transport::link_handlers handlers;
  handlers.opened = [this, generation](const std::shared_ptr<transport::link>&) {
    if (generation != generation_) return;
    Send(Greeting(protocol::process_role::kProxy, context_.settings.host));
    Send(relay_.Subscribe(context_.clock.Now(), policy_.failed_relays()));
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
  const auto message = internal::Narrow<distribution::publisher_message>(decoded.value());
  if (!message) return;
  const distribution::relay_result result =
      relay_.OnPublisherMessage(*message, context_.clock.Now());
  handlers_.contact();
  if (result.changes.new_round) {
    if (!served_) {
      logging::event(logging::event_id::kPublisherConnected).With("publisher", publisher_);
    }
    served_ = true;
    policy_.OnHealthy();
  }
  Handle(result);
  if (!result.changes.redirection) return;
  policy_.OnRedirect(*result.changes.redirection);
  ++generation_;
  closed_bytes_received_ += link_->bytes_received();
  closed_bytes_sent_ += link_->bytes_sent();
  std::exchange(link_, nullptr)->Close("redirected");
  ConnectNext();
}

void subscription::OnClosed(std::uint64_t generation, const std::string& reason) {
  if (generation != generation_) return;
  logging::event(logging::event_id::kPublisherLost)
      .With("publisher", publisher_)
      .With("reason", reason);
  if (link_) {
    closed_bytes_received_ += link_->bytes_received();
    closed_bytes_sent_ += link_->bytes_sent();
  }
  link_.reset();
  served_ = false;
  policy_.OnFailure();
  ConnectNext();
}

void subscription::OnChildMessage(const std::shared_ptr<transport::link>& link,
                                  std::string_view payload) {
  const auto known = children_.find(link.get());
  if (known == children_.end()) {
    if (!ReadGreeting(*link, payload, context_.tls != nullptr)) {
      link->Close("bad greeting");
      return;
    }
    const distribution::subscriber_id id(next_child_++);
    children_[link.get()] = child{link, id};
    by_id_[id] = link.get();
    return;
  }
  const auto decoded = codec::Decode<protocol::daemon_message>(payload);
  const auto message =
      decoded ? internal::Narrow<distribution::subscriber_message>(decoded.value()) : std::nullopt;
  if (!message) {
    link->Close("malformed message");
    return;
  }
  Handle(relay_.OnChildMessage(known->second.id, *message, context_.clock.Now(), context_.random));
}

void subscription::OnChildClosed(const std::shared_ptr<transport::link>& link) {
  const auto found = children_.find(link.get());
  if (found == children_.end()) return;
  const distribution::subscriber_id id = found->second.id;
  closed_bytes_to_children_ += link->bytes_sent();
  by_id_.erase(id);
  children_.erase(found);
  Handle(relay_.OnDisconnect(id, context_.clock.Now()));
}

void subscription::Handle(const distribution::relay_result& result) {
  NoteChange(result.changes);
  handlers_.changed(result.changes);
  for (const distribution::subscriber_message& message : result.to_publisher) {
    Send(internal::Widen<protocol::daemon_message>(message));
  }
  for (const distribution::outgoing& out : result.to_children) {
    const auto found = by_id_.find(out.recipient);
    if (found == by_id_.end()) continue;
    children_.at(found->second)
        .link->Send(codec::Encode(internal::Widen<protocol::publisher_message>(out.message)));
  }
}

void subscription::NoteChange(const distribution::subscriber_result& result) {
  if (result.version_changed) {
    applied_versions_.push_back({held().version(), SinceEpoch().count()});
    if (applied_versions_.size() > internal::kMaxAppliedVersions) applied_versions_.pop_front();
    logging::event(logging::event_id::kVersionApplied).With("version", held().version());
  }
  if (result.refused_version) {
    logging::event(logging::event_id::kVersionRefused).With("version", *result.refused_version);
  }
  if (result.became_ready) {
    logging::event(logging::event_id::kFreshnessProved).With("version", held().version());
  }
}

void subscription::Tick() {
  const kernel::time_point now = context_.clock.Now();
  if (link_ && link_->is_open() && relay_.HasHeartbeatTimedOut(now)) {
    link_->Close("the publisher brings no heartbeat");
  }
  Handle(relay_.Tick(now));
}

void subscription::Send(const protocol::daemon_message& message) {
  if (link_) link_->Send(codec::Encode(message));
}

std::uint64_t subscription::bytes_received() const {
  return closed_bytes_received_ + (link_ ? link_->bytes_received() : 0);
}

std::uint64_t subscription::bytes_sent() const {
  return closed_bytes_sent_ + (link_ ? link_->bytes_sent() : 0);
}

std::uint64_t subscription::bytes_sent_to_children() const {
  std::uint64_t total = closed_bytes_to_children_;
  for (const auto& [link, child] : children_) total += link->bytes_sent();
  return total;
}

}  // namespace cornelweir::plugins::proxy
