#include "plugins/sidecar/control_feed.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/greeting.h"
#include "plugins/wall_clock.h"

namespace cornelweir::plugins::sidecar {
namespace internal {

constexpr kernel::milliseconds kTickPeriod{50};
constexpr kernel::milliseconds kReportPeriod{1'000};
// Between two attempts to reach a control host; a herd of daemons spreads over twice the time.
constexpr kernel::milliseconds kRetryPeriod{60};
// How long a host may take to answer the opening of a link before another one is tried; twice as
// long after each round of all hosts, since a herd of daemons may keep all of them busy.
constexpr kernel::milliseconds kOpenPatience{250};
// A host from which this much arrives between two looks is in the middle of a large message.
constexpr std::uint64_t kProgressBytes = 1024;

boost::leaf::result<policy::policy_delta> ReadDelta(std::string_view deflated) {
  BOOST_LEAF_AUTO(bytes, codec::Inflate(deflated));
  return codec::Decode<policy::policy_delta>(bytes);
}

}  // namespace internal

control_feed::control_feed(daemon_context& context, handlers callbacks)
    : context_(context),
      handlers_(std::move(callbacks)),
      timer_(context.loop),
      incarnation_(static_cast<std::uint64_t>(SinceEpochMs().count())) {
  AddSeeds();
  next_host_ = kernel::UniformBelow(context.random, hosts_.size());
}

void control_feed::AddSeeds() {
  const settings::sidecar_settings& own = *context_.settings.sidecar;
  for (const kernel::endpoint& seed : own.seeds) {
    hosts_.push_back(settings::WithPort(seed, std::to_string(own.control_port)));
  }
}

void control_feed::Start() {
  Tick();
  timer_.StartPeriodic(internal::kTickPeriod, [this] { Tick(); });
}

void control_feed::Stop() {
  timer_.Cancel();
  if (alive_) *alive_ = false;
  if (link_) link_->Close("the process is shutting down");
}

void control_feed::BeginShutdown() {
  leaving_ = true;
  Report();
}

// The hosts of the group first, then the seeds: one of them may be the only way to a group whose
// hosts were all replaced.
kernel::endpoint control_feed::NextHost() {
  kernel::endpoint next = hosts_[next_host_ % hosts_.size()];
  ++next_host_;
  return next;
}

void control_feed::Connect() {
  host_ = NextHost();
  alive_ = std::make_shared<bool>(true);
  opened_ = false;
  bytes_seen_ = 0;
  current_at_ = Now();
  transport::link_handlers callbacks;
  callbacks.opened = [this, alive = alive_](const std::shared_ptr<transport::link>& link) {
    if (!*alive) return;
    opened_ = true;
    failed_attempts_ = 0;
    current_at_ = Now();
    logging::event(logging::event_id::kControlHostConnected).With("host", host_);
    const protocol::report_message greeting =
        Greeting(protocol::process_role::kSidecar, context_.settings.host);
    link->Send(codec::Encode(greeting));
    Report();
  };
  callbacks.message = [this, alive = alive_](const std::shared_ptr<transport::link>&,
                                             std::string_view payload) {
    if (*alive) OnMessage(payload);
  };
  callbacks.closed = [this, alive = alive_](const std::shared_ptr<transport::link>&,
                                            const std::string& reason) {
    if (!*alive) return;
    if (opened_) {
      logging::event(logging::event_id::kControlHostLost)
          .With("host", host_)
          .With("reason", reason);
    } else {
      ++failed_attempts_;
    }
    link_.reset();
    opened_ = false;
    retry_at_ =
        Now() + internal::kRetryPeriod +
        kernel::microseconds(kernel::UniformBelow(
            context_.random,
            static_cast<std::uint64_t>(kernel::microseconds(internal::kRetryPeriod).count())));
  };
  link_ =
      transport::link::Connect(context_.loop.context(), host_, context_.tls, std::move(callbacks));
}

kernel::microseconds control_feed::OpenPatience() const {
  kernel::microseconds patience = internal::kOpenPatience;
  for (std::size_t round = failed_attempts_ / hosts_.size(); round > 0; --round) {
    if (patience >= protocol::kFleetTimeout) break;
    patience *= 2;
  }
  return std::min(patience, kernel::microseconds(protocol::kFleetTimeout));
}

void control_feed::Leave(const std::string& reason) {
  if (link_) link_->Close(reason);
}

void control_feed::Tick() {
  const kernel::time_point now = Now();
  if (!link_) {
    if (now >= retry_at_) Connect();
    return;
  }
  const kernel::microseconds patience =
      opened_ ? kernel::microseconds(protocol::kFleetTimeout) : OpenPatience();
  if (link_->bytes_received() >= bytes_seen_ + internal::kProgressBytes) current_at_ = now;
  bytes_seen_ = link_->bytes_received();
  if (now - current_at_ > patience) {
    Leave(opened_ ? "silent or not current" : "no connection");
    return;
  }
  if (opened_ && now - reported_at_ >= internal::kReportPeriod) Report();
}

void control_feed::Report() {
  if (!link_ || !opened_) return;
  reported_at_ = Now();
  protocol::daemon_report report;
  report.self.daemon = self();
  report.self.failure_domain = context_.settings.failure_domain;
  report.self.service = handlers_.service();
  report.self.incarnation = incarnation_;
  report.self.sequence = ++sequence_;
  report.self.leaving = leaving_;
  if (policy_) report.enforced_policy = policy_->version;
  link_->Send(codec::Encode(protocol::report_message{report}));
}

void control_feed::OnMessage(std::string_view payload) {
  const auto message = codec::Decode<protocol::fleet_message>(payload);
  if (!message) {
    Leave("malformed message");
    return;
  }
  if (const auto* update = std::get_if<protocol::fleet_update>(&message.value())) {
    OnUpdate(*update);
  }
}

void control_feed::OnUpdate(const protocol::fleet_update& update) {
  if (update.superseded_incarnation >= incarnation_) {
    incarnation_ = Next(update.superseded_incarnation);
    Report();
  }
  if (!update.leader_confirmed) return;
  current_at_ = Now();
  if (!update.control_hosts.empty()) {
    hosts_ = update.control_hosts;
    AddSeeds();
  }
  if (!update.policy_delta.bytes.empty()) {
    const auto delta = internal::ReadDelta(update.policy_delta.bytes);
    if (!delta) {
      Leave("malformed policy");
      return;
    }
    ApplyPolicy(delta.value());
  }
  ApplyRoster(update);
}

void control_feed::ApplyPolicy(const policy::policy_delta& delta) {
  const policy::policy_table none;
  if (policy_ && delta.version <= policy_->version) return;
  const policy::policy_table& base =
      delta.base == kernel::policy_version() || !policy_ ? none : *policy_;
  auto next = policy::Apply(base, delta);
  if (!next) {
    logging::event(logging::event_id::kVersionRefused)
        .With("base", delta.base)
        .With("version", delta.version);
    // A new link begins with what this daemon really holds.
    Leave("a policy does not fit");
    return;
  }
  policy_ = std::make_shared<const policy::policy_table>(*std::move(next));
  logging::event(logging::event_id::kPolicyApplied)
      .With("version", policy_->version)
      .With("base", delta.base)
      .With("routes", policy_->routes.size())
      .With("host", host_);
  handlers_.policy_changed();
}

void control_feed::ApplyRoster(const protocol::fleet_update& update) {
  if (update.present.empty() && update.gone.empty()) return;
  // What another host said before is kept until it is said to be gone, since a control host that
  // has just started does not know of all daemons yet. Links to daemons that are gone fail on their
  // own.
  for (const membership::roster_entry& entry : update.present) roster_[entry.daemon] = entry;
  for (const kernel::endpoint& gone : update.gone) roster_.erase(gone);
  handlers_.roster_changed();
}

}  // namespace cornelweir::plugins::sidecar
