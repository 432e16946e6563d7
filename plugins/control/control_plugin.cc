#include "plugins/control/control_plugin.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>
#include <variant>

#include "cornelweir/logging.h"
#include "cornelweir/shutdown.h"
#include "plugins/control/seed_group.h"
#include "plugins/greeting.h"

namespace cornelweir::plugins::control {
namespace internal {

// Renewals that arrive within this period are forwarded to the leader in one message.
constexpr kernel::milliseconds kRenewalFlushPeriod{100};
constexpr kernel::milliseconds kLeaseCheckPeriod{250};
constexpr kernel::milliseconds kMetricsPeriod{1'000};
constexpr kernel::milliseconds kShutdownCheckPeriod{20};
// Changes have an outcome within protocol::kSubmissionTimeout, or none.
constexpr kernel::milliseconds kMaxShutdownTime = protocol::kSubmissionTimeout;
constexpr kernel::milliseconds kGroupMaintenancePeriod{150};

bool IsLoopback(const kernel::endpoint& endpoint) {
  boost::asio::ip::tcp::endpoint parsed;
  return transport::ParseEndpoint(endpoint, parsed) && parsed.address().is_loopback();
}

replication::group_configuration InitialGroup(const settings::control_settings& settings) {
  replication::group_configuration group;
  for (const settings::control_peer& peer : settings.peers) group.voters.push_back(peer.host);
  return group;
}

// Returns how the data folder is opened. The bootstrap flag has an effect only on a folder that
// never had an identity: it may remain set after the first start.
storage::store_options StoreOptions(const settings::daemon_settings& settings) {
  const settings::control_settings& control = *settings.control;
  storage::store_options options;
  options.check =
      control.stable_inodes ? storage::copy_check::kByFileIdentity : storage::copy_check::kNone;
  options.bootstrap = control.bootstrap;
  if (control.seeds.empty()) return options;
  options.initial_voters = InitialVoters(control);
  options.bootstrap =
      control.bootstrap && std::find(options.initial_voters.begin(), options.initial_voters.end(),
                                     settings.host) != options.initial_voters.end();
  return options;
}

// Builds this host's node from the content of its data folder.
replication::node BuildNode(const daemon_context& context, storage::recovered_state content) {
  replication::group_configuration initial = InitialGroup(*context.settings.control);
  if (!context.settings.control->seeds.empty() && content.bootstrap) {
    initial.voters = content.initial_voters;
    if (initial.voters.empty()) initial.voters = {context.settings.host};
  }
  return replication::node_builder()
      .Self(context.settings.host)
      .Disk(content.disk)
      .Bootstrap(content.bootstrap)
      .State(std::move(content.state))
      .Snapshot(std::move(content.snapshot))
      .Entries(std::move(content.entries))
      .Configuration(std::move(initial))
      .Seed(context.random.NextU64())
      .Build();
}

std::string Describe(const storage::storage_error& error) {
  std::string text = "the data folder can't be used: ";
  text.append(storage::CallName(error.call)).append(" of ").append(error.file);
  text.append(" at offset ").append(std::to_string(error.offset));
  if (error.system_error != 0) text.append(": ").append(std::strerror(error.system_error));
  if (error.fault == storage::storage_fault::kDamaged) text.append(": the file is damaged");
  if (error.fault == storage::storage_fault::kInconsistent) {
    text.append(": the files are inconsistent");
  }
  return text;
}

}  // namespace internal

boost::leaf::result<std::shared_ptr<control_plugin>> control_plugin::Create(
    daemon_context& context) {
  if (!context.settings.control) {
    return boost::leaf::new_error(
        plugin_error{"the plug-in 'control' needs the settings 'control'"});
  }
  if (!context.settings.trusted_network && !internal::IsLoopback(context.settings.admin_listen)) {
    return boost::leaf::new_error(
        plugin_error{"admin_listen: the operators' interface has no authentication, so a control "
                     "host offers it on a loopback address only"});
  }
  auto plugin = std::make_shared<control_plugin>(context);
  BOOST_LEAF_CHECK(plugin->OpenStorage());
  BOOST_LEAF_CHECK(plugin->Listen());
  return plugin;
}

control_plugin::control_plugin(daemon_context& context)
    : context_(context),
      replica_(
          context.loop,
          storage::log_store(context.settings.control->data_folder,
                             internal::StoreOptions(context.settings)),
          [&context](storage::recovered_state content) {
            return internal::BuildNode(context, std::move(content));
          },
          internal::InitialGroup(*context.settings.control),
          replica::handlers{
              .send =
                  [this](const replication::envelope& message) {
                    mesh_.Send(message.to, protocol::replicate{message});
                  },
              .applied =
                  [this](const cornelweir::control::applied_effects& effects) {
                    OnApplied(effects);
                  },
              .leadership_changed = [this](bool is_leader) { OnLeadershipChanged(is_leader); },
              .storage_unusable =
                  [](const storage::storage_error& error) {
                    EndProcess(internal::Describe(error));
                  }}),
      mesh_(context.loop, context.settings, context.tls, context.random.NextU64()),
      gateway_(*this, context.loop, context.random),
      feed_(*this, context.loop, context.pauses),
      quota_(*this, context),
      policy_(*this),
      rollouts_(*this),
      rollout_controller_(*this, context.loop),
      api_(*this),
      renewal_timer_(context.loop),
      lease_timer_(context.loop),
      metrics_timer_(context.loop),
      group_timer_(context.loop),
      shutdown_timer_(context.loop),
      storage_monitor_(context.metrics),
      currency_monitor_(context.metrics),
      started_at_(context.clock.Now()) {
  api_.Register(context.admin);
  context.policy = policy_.MakePort();
  context.rollouts = rollouts_.MakePort();
}

boost::leaf::result<void> control_plugin::OpenStorage() {
  return boost::leaf::try_handle_some([this] { return replica_.Open(); },
                                      [](const storage::storage_error& error) {
                                        return boost::leaf::result<void>(boost::leaf::new_error(
                                            plugin_error{internal::Describe(error)}));
                                      });
}

// Whatever starts the process again shows the reason to operators if the next start fails, too.
void control_plugin::EndProcess(const std::string& reason) {
  logging::event(logging::event_id::kProcessStopped).With("reason", reason);
  logging::FlushOutput();
  std::fprintf(stderr, "cornelweird: %s\n", reason.c_str());
  std::_Exit(EXIT_FAILURE);
}

boost::leaf::result<void> control_plugin::Listen() {
  transport::link_handlers handlers;
  handlers.message = [this](const std::shared_ptr<transport::link>& link,
                            std::string_view payload) { OnMessage(link, payload); };
  handlers.closed = [this](const std::shared_ptr<transport::link>& link, const std::string&) {
    OnLinkClosed(link.get());
  };
  BOOST_LEAF_ASSIGN(listener_, transport::listener::Open(context_.loop.context(),
                                                         context_.settings.control->mesh_listen,
                                                         context_.tls, std::move(handlers)));
  return {};
}

void control_plugin::Start() {
  gateway_.PublishTable();
  gateway_.PublishMembers();
  mesh_.Start();
  replica_.Start();
  gateway_.Start();
  feed_.Start();
  rollout_controller_.Start();
  if (!context_.settings.control->seeds.empty()) {
    MaintainGroup();
    group_timer_.StartPeriodic(internal::kGroupMaintenancePeriod, [this] { MaintainGroup(); });
  }
  renewal_timer_.StartPeriodic(internal::kRenewalFlushPeriod, [this] { FlushRenewals(); });
  lease_timer_.StartPeriodic(internal::kLeaseCheckPeriod, [this] { ExpireLeases(); });
  metrics_timer_.StartPeriodic(internal::kMetricsPeriod, [this] { ReportMetrics(); });
}

// Daemons are sent to another host at once. The host stays in the group until the changes and reads
// that operators have sent to it are answered.
void control_plugin::BeginShutdown(std::function<void()> done) {
  shutting_down_ = true;
  const kernel::time_point limit = std::min(context_.clock.Now() + internal::kMaxShutdownTime,
                                            context_.stop_at - shutdown::kOperatorReplyReserve);
  gateway_.Stop();
  feed_.Stop();
  quota_.Stop();
  rollout_controller_.Stop();
  group_timer_.Cancel();
  renewal_timer_.Cancel();
  lease_timer_.Cancel();
  metrics_timer_.Cancel();
  shutdown_timer_.StartPeriodic(internal::kShutdownCheckPeriod,
                                [this, limit, done = std::move(done)] {
                                  const bool idle = replica_.IsIdle() && !mesh_.HasSubmissions();
                                  if (!idle && context_.clock.Now() < limit) return;
                                  shutdown_timer_.Cancel();
                                  listener_->Close();
                                  replica_.Stop();
                                  mesh_.Stop();
                                  context_.loop.Post(done);
                                });
}

void control_plugin::OnMessage(const std::shared_ptr<transport::link>& link,
                               std::string_view payload) {
  if (const auto peer = peers_.find(link.get()); peer != peers_.end()) {
    const auto message = codec::Decode<protocol::control_message>(payload);
    if (!message) {
      link->Close("malformed message");
      return;
    }
    OnPeerMessage(kernel::host_id(peer->second), message.value());
    return;
  }
  if (feed_.Serves(link.get())) {
    feed_.Receive(link.get(), payload);
    return;
  }
  if (!daemons_.contains(link.get())) {
    OnGreeting(link, payload);
    return;
  }
  const auto message = codec::Decode<protocol::daemon_message>(payload);
  if (!message) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "malformed");
    link->Close("malformed message");
    return;
  }
  gateway_.Receive(link.get(), message.value());
}

void control_plugin::OnGreeting(const std::shared_ptr<transport::link>& link,
                                std::string_view payload) {
  const auto greeting = ReadGreeting(*link, payload, context_.tls != nullptr);
  if (!greeting) {
    link->Close("greeting refused");
    return;
  }
  if (greeting->role == protocol::process_role::kControl) {
    peers_[link.get()] = greeting->host;
    link->StartPings(transport::kAcceptedControlLinkPings);
    if (!context_.settings.control->seeds.empty()) mesh_.AddPeer(greeting->host);
    return;
  }
  if (shutting_down_) {
    link->Close("the process is shutting down");
    return;
  }
  if (greeting->role == protocol::process_role::kSidecar) {
    feed_.Add(link);
    return;
  }
  daemons_[link.get()] = true;
  gateway_.Add(link, *greeting);
}

void control_plugin::OnPeerMessage(const kernel::host_id& sender,
                                   const protocol::control_message& message) {
  if (const auto* replicated = std::get_if<protocol::replicate>(&message)) {
    if (replicated->envelope.from == sender) replica_.Receive(replicated->envelope);
  } else if (const auto* command = std::get_if<protocol::submit>(&message)) {
    const auto reply = [this, sender, id = command->id](const auto& outcome) {
      mesh_.Send(sender, protocol::submit_reply{id, outcome});
    };
    if (HoldsChanges()) {
      reply(std::nullopt);
    } else {
      replica_.Propose(command->command, reply);
    }
  } else if (const auto* forwarded = std::get_if<protocol::submit_part>(&message)) {
    OnForwarded(sender, *forwarded);
  } else if (const auto* reply = std::get_if<protocol::submit_reply>(&message)) {
    mesh_.OnReply(*reply);
  } else if (const auto* renewals = std::get_if<protocol::renew>(&message)) {
    if (replica_.node().IsLeader()) Renew(*renewals);
  } else if (const auto* share = std::get_if<protocol::roster_share>(&message)) {
    feed_.Receive(*share);
  } else if (const auto* samples = std::get_if<protocol::rollout_samples>(&message)) {
    rollout_controller_.Receive(*samples);
  } else if (const auto* join = std::get_if<protocol::join_request>(&message)) {
    OnJoin(*join);
  } else if (const auto* requests = std::get_if<protocol::quota_batch>(&message)) {
    quota_.Receive(sender, *requests);
  } else if (const auto* grants = std::get_if<protocol::quota_grant_batch>(&message)) {
    quota_.Receive(*grants);
  }
}

void control_plugin::OnForwarded(const kernel::host_id& sender,
                                 const protocol::submit_part& forwarded) {
  const auto packed = forwarded_parts_[sender].Add(forwarded.part);
  if (!packed) return;
  const auto reply = [this, sender, id = forwarded.id](const auto& outcome) {
    mesh_.Send(sender, protocol::submit_reply{id, outcome});
  };
  if (HoldsChanges()) {
    reply(std::nullopt);
  } else {
    replica_.ProposePacked(*packed, reply);
  }
}

void control_plugin::OnLinkClosed(const transport::link* link) {
  if (const auto peer = peers_.find(link); peer != peers_.end()) {
    forwarded_parts_.erase(peer->second);
    peers_.erase(peer);
  }
  daemons_.erase(link);
  feed_.Remove(link);
  gateway_.Remove(link);
}

void control_plugin::Submit(cornelweir::control::command command, outcome_callback callback) {
  if (replica_.node().IsLeader()) {
    if (HoldsChanges()) {
      callback(std::nullopt);
      return;
    }
    replica_.Propose(std::move(command), std::move(callback));
    return;
  }
  const auto leader = replica_.node().leader();
  if (!leader) {
    callback(std::nullopt);
    return;
  }
  mesh_.Submit(*leader, std::move(command), std::move(callback));
}

void control_plugin::Renew(const protocol::renew& renewals) {
  if (replica_.node().IsLeader()) {
    const kernel::time_point now = context_.clock.Now();
    for (const protocol::lease_renewal& renewal : renewals.renewals) {
      leases_.Renew(renewal.id, renewal.incarnation, now);
    }
    return;
  }
  auto& pending = pending_renewals_.renewals;
  pending.insert(pending.end(), renewals.renewals.begin(), renewals.renewals.end());
}

void control_plugin::SendToLeader(const protocol::control_message& message) {
  const auto leader = replica_.node().leader();
  if (leader && !replica_.node().IsLeader()) mesh_.Send(*leader, message);
}

void control_plugin::FlushRenewals() {
  if (pending_renewals_.renewals.empty()) return;
  const protocol::renew batch = std::exchange(pending_renewals_, {});
  if (const auto leader = replica_.node().leader()) mesh_.Send(*leader, batch);
}

void control_plugin::ExpireLeases() {
  if (!replica_.node().IsLeader()) return;
  for (const membership::expired_lease& expired : leases_.Expire(context_.clock.Now())) {
    logging::event(logging::event_id::kLeaseExpired).With("upstream", expired.id);
    replica_.Propose(cornelweir::control::leave_command{expired.id, expired.incarnation},
                     [](const auto&) {});
  }
}

void control_plugin::OnLeadershipChanged(bool is_leader) {
  rollout_controller_.OnLeadershipChanged(is_leader);
  if (is_leader) {
    leases_.Restart(replica_.machine().members(), context_.clock.Now());
  } else {
    leases_.Stop();
  }
}

void control_plugin::OnApplied(const cornelweir::control::applied_effects& effects) {
  if (effects.table_changed) {
    gateway_.PublishTable();
    logging::event(logging::event_id::kVersionAccepted)
        .With("version", replica_.machine().history().newest());
  }
  if (effects.policy_changed) {
    feed_.PublishPolicy();
    logging::event(logging::event_id::kPolicyInForce)
        .With("version", replica_.machine().policy().current()->version);
  }
  if (effects.rollouts_changed) {
    rollout_controller_.OnRecordsChanged();
    feed_.PublishRollouts();
  }
  if (effects.members_changed) gateway_.PublishMembers();
  if (effects.quarantine_changed) {
    gateway_.PublishQuarantine();
    feed_.PublishQuarantine();
  }
  if (!replica_.node().IsLeader()) return;
  if (effects.announced) leases_.Track(*effects.announced, context_.clock.Now());
  if (effects.left) leases_.Untrack(*effects.left);
}

void control_plugin::ReportMetrics() {
  metrics::metrics_registry& metrics = context_.metrics;
  metrics.Gauge("cornelweir_control_is_leader", "1 on the leader of the replicated log", {})
      .Set(replica_.node().IsLeader() ? 1 : 0);
  metrics.Gauge("cornelweir_control_version", "Newest accepted version", {})
      .Set(static_cast<double>(replica_.machine().history().newest().value()));
  metrics.Gauge("cornelweir_control_subscribers", "Daemons that subscribe at this host", {})
      .Set(static_cast<double>(gateway_.subscribers()));
  storage_monitor_.Report(replica_.storage());
  currency_monitor_.Report(feed_.currency().Status(context_.clock.Now()));
  metrics
      .Gauge("cornelweir_control_founding",
             "1 while a new group has too few voters to accept changes", {})
      .Set(IsFounding() ? 1 : 0);
}

namespace {
const daemon_plugin_registration<control_plugin> kRegistered{};
}  // namespace

}  // namespace cornelweir::plugins::control
