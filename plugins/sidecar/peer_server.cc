#include "plugins/sidecar/peer_server.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/greeting.h"
#include "plugins/sidecar/host_traffic.h"

namespace cornelweir::plugins::sidecar {

peer_server::peer_server(daemon_context& context, upstream_dispatcher& dispatcher,
                         bulk_sender& bulk)
    : context_(context),
      dispatcher_(dispatcher),
      bulk_(bulk),
      bodies_(context, [this](const transport::link* link, kernel::call_id id) {
        OnBodyGivenUp(link, id);
      }) {}

boost::leaf::result<void> peer_server::Listen() {
  transport::link_handlers handlers;
  handlers.message = [this](const std::shared_ptr<transport::link>& link,
                            std::string_view payload) { OnMessage(link, payload); };
  handlers.closed = [this](const std::shared_ptr<transport::link>& link, const std::string&) {
    OnClosed(link.get());
  };
  BOOST_LEAF_ASSIGN(listener_, transport::listener::Open(context_.loop.context(),
                                                         context_.settings.sidecar->peers_listen,
                                                         context_.tls, std::move(handlers)));
  return {};
}

// Requests that cross the end of the links are not taken, and their senders are told so. Without it
// their outcome would look unknown, and those that must not run twice would be lost.
void peer_server::CloseAfterDrain(std::function<void()> done) {
  for (const auto& [key, open] : sessions_) {
    if (!open.greeting_received) continue;
    protocol::link_closing closing;
    for (const auto& [id, inbound] : open.requests) {
      if (inbound.complete) closing.taken.push_back(id);
    }
    SendCountedData(context_.metrics, *open.link, std::move(closing));
  }
  listener_->CloseAfterDrain(std::move(done));
}

void peer_server::OnMessage(const std::shared_ptr<transport::link>& link,
                            std::string_view payload) {
  session& sender = sessions_[link.get()];
  if (!sender.greeting_received) {
    const auto greeting = ReadGreeting(*link, payload, context_.tls != nullptr);
    if (!greeting) {
      link->Close("bad greeting");
      return;
    }
    sender.greeting_received = true;
    sender.link = link;
    SendCountedData(context_.metrics, *link, Report());
    return;
  }
  const auto frame = ReadCountedData(context_.metrics, payload);
  if (!frame) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "malformed");
    link->Close("malformed message");
    return;
  }
  OnData(sender, frame->message, frame->payload);
}

void peer_server::OnData(session& sender, const protocol::data_message& message,
                         std::string_view payload) {
  if (const auto* run = std::get_if<protocol::run_request>(&message)) {
    OnRequest(sender, *run, payload);
  } else if (const auto* piece = std::get_if<protocol::body_piece>(&message)) {
    SendCountedData(context_.metrics, *sender.link, protocol::body_piece_ack{piece->id});
    OnBodyPiece(sender, piece->id, payload);
  } else if (const auto* cancel = std::get_if<protocol::cancel_request>(&message)) {
    OnCancel(sender, cancel->id);
  } else if (const auto* probe = std::get_if<protocol::link_probe>(&message)) {
    SendCountedData(context_.metrics, *sender.link, *probe);
  } else if (std::holds_alternative<protocol::body_piece_ack>(message)) {
    bulk_.OnPieceAcknowledged(sender.link.get());
  } else if (quarantine_ != nullptr) {
    OnQuarantineNotice(message);
  }
}

void peer_server::OnQuarantineNotice(const protocol::data_message& message) {
  if (const auto* crash = std::get_if<protocol::crash_notice>(&message)) {
    quarantine_->OnNotice(*crash);
  } else if (const auto* cleared = std::get_if<protocol::suspects_cleared>(&message)) {
    quarantine_->OnNotice(*cleared);
  } else if (const auto* quarantined = std::get_if<protocol::quarantine_notice>(&message)) {
    quarantine_->OnNotice(*quarantined);
  }
}

void peer_server::OnRequest(session& sender, const protocol::run_request& message,
                            std::string_view payload) {
  const auto [added, is_new] = sender.requests.try_emplace(message.id);
  if (!is_new || message.body_bytes > protocol::kMaxLinkBodyBytes) {
    logging::event(logging::event_id::kMessageRefused)
        .With("reason", is_new ? "request body too large" : "request id used twice");
    sender.link->Close("bad request");
    return;
  }
  inbound_request& inbound = added->second;
  inbound.request = message;
  inbound.arrived_at = dispatcher_.backlog().Arrival();
  inbound.objective = inbound.arrived_at + message.objective_left;
  inbound.deadline = inbound.arrived_at + message.time_left;
  inbound.priority = message.priority;
  inbound.idempotent = policy::IsIdempotent(message.retry_safety);
  if (message.body_bytes > 0) {
    AnnounceBody(sender, message.id);
    return;
  }
  inbound.body = payload;
  StartRun(sender, message.id);
}

void peer_server::AnnounceBody(session& sender, kernel::call_id id) {
  const inbound_request& inbound = sender.requests.at(id);
  const protocol::run_request& request = inbound.request;
  admission::transfer_request transfer;
  transfer.bytes = request.body_bytes;
  transfer.priority = request.priority;
  transfer.objective = inbound.objective;
  transfer.deadline = inbound.deadline;
  transfer.run_time = dispatcher_.MeanRunTime(request.route);
  transfer.slot_at = context_.clock.Now() + dispatcher_.ExpectedSlotWait();
  transfer.has_alternative = request.has_alternative;
  const bool accepted =
      dispatcher_.Serves(request.service) && bodies_.Announce(sender.link, id, transfer);
  if (!accepted) RefuseBody(sender, id);
}

void peer_server::RefuseBody(session& sender, kernel::call_id id) {
  const auto refused = sender.requests.find(id);
  const bool serves = dispatcher_.Serves(refused->second.request.service);
  sender.requests.erase(refused);
  protocol::run_failed message;
  message.id = id;
  message.failure =
      serves ? protocol::run_failure::kNoCapacity : protocol::run_failure::kNoUpstream;
  if (serves) {
    message.retry_after = std::max(bodies_.DrainTime(), dispatcher_.ExpectedSlotWait());
  }
  message.load = Load();
  SendCountedData(context_.metrics, *sender.link, message);
  context_.metrics
      .Counter("cornelweir_bodies_refused_total",
               "Large request bodies refused before they arrived", {})
      .Increment();
}

void peer_server::OnBodyGivenUp(const transport::link* link, kernel::call_id id) {
  const auto found = sessions_.find(link);
  if (found != sessions_.end()) RefuseBody(found->second, id);
}

void peer_server::OnBodyPiece(session& sender, kernel::call_id id, std::string_view bytes) {
  using progress = admission::transfer_progress;
  const progress state = bodies_.OnPiece(sender.link.get(), id, bytes.size());
  // Pieces that were sent before the sender learned that the body was refused.
  if (state == progress::kUnknown) return;
  if (state == progress::kBeyondCredit) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "body exceeds its credit");
    sender.link->Close("body exceeds its credit");
    return;
  }
  sender.requests.at(id).body.append(bytes);
  if (state == progress::kComplete) StartRun(sender, id);
}

void peer_server::OnCancel(session& sender, kernel::call_id id) {
  bulk_.Cancel(sender.link.get(), id);
  bodies_.Cancel(sender.link.get(), id);
  const auto found = sender.requests.find(id);
  if (found == sender.requests.end()) return;
  const inbound_request ended = std::move(found->second);
  sender.requests.erase(found);
  if (ended.complete) dispatcher_.Cancel(ended.ticket);
}

// The sender stated the time that was left when it sent the request. The time that has passed since
// then includes that of the rest of the body and of a pause of this process.
void peer_server::StartRun(session& sender, kernel::call_id id) {
  inbound_request& inbound = sender.requests.at(id);
  inbound.complete = true;
  const kernel::microseconds elapsed = context_.clock.Now() - inbound.arrived_at;
  inbound.request.time_left -= elapsed;
  inbound.request.objective_left -= elapsed;
  if (inbound.request.parent) {
    inbound.request.parent->time_left -= elapsed;
    inbound.request.parent->objective_left -= elapsed;
  }
  inbound.ticket =
      dispatcher_.Run(std::move(inbound.request), std::move(inbound.body),
                      [this, link = std::weak_ptr(sender.link), id](run_result result) {
                        SendResult(link, id, std::move(result));
                      });
}

void peer_server::SendResult(const std::weak_ptr<transport::link>& weak_link, kernel::call_id id,
                             run_result result) {
  const auto link = weak_link.lock();
  if (!link) return;
  const auto found = sessions_.find(link.get());
  if (found == sessions_.end()) return;
  const auto ended = found->second.requests.find(id);
  if (ended == found->second.requests.end()) return;
  const inbound_request request = std::move(ended->second);
  found->second.requests.erase(ended);
  if (!result.response) {
    SendCountedData(context_.metrics, *link,
                    protocol::run_failed{id, result.failure, result.retry_after, Load(),
                                         result.nested, result.quarantined_for});
    return;
  }
  protocol::run_response response;
  response.id = id;
  response.status = result.response->status.value();
  response.headers = std::move(result.response->headers);
  response.load = Load();
  response.nested = result.nested;
  response.route_run_time = result.route_run_time;
  if (!bulk_sender::IsLarge(result.response->body.size())) {
    SendCountedData(context_.metrics, *link, std::move(response), result.response->body);
    return;
  }
  response.last = false;
  response.body_bytes = result.response->body.size();
  SendCountedData(context_.metrics, *link, std::move(response));
  SendBody(link, id,
           {std::move(result.response->body), std::move(result.response->hold), request.priority,
            request.objective, request.deadline, request.idempotent});
}

void peer_server::SendBody(const std::shared_ptr<transport::link>& link, kernel::call_id id,
                           bulk_sender::response_body body) {
  // The transfer ends with the link, so the link is still there.
  body.on_given_up = [this, link = link.get(), id] { ReportDroppedResponse(*link, id); };
  if (!bulk_.Send(link, id, std::move(body))) ReportDroppedResponse(*link, id);
}

void peer_server::ReportDroppedResponse(transport::link& link, kernel::call_id id) {
  protocol::run_failed message;
  message.id = id;
  message.failure = protocol::run_failure::kUpstreamError;
  message.retry_after = bulk_.EstimatedTransferTime(0);
  message.load = Load();
  message.response_dropped = true;
  SendCountedData(context_.metrics, link, message);
}

// Cancels the requests received on the link, since their results cannot be sent.
void peer_server::OnClosed(const transport::link* link) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return;
  bulk_.OnClosed(link);
  bodies_.OnClosed(link);
  const auto requests = std::move(found->second.requests);
  sessions_.erase(found);
  for (const auto& [id, ended] : requests) {
    if (ended.complete) dispatcher_.Cancel(ended.ticket);
  }
}

protocol::upstream_load peer_server::Load() const {
  protocol::upstream_load load = dispatcher_.Load();
  load.missing_body_bytes = static_cast<std::int64_t>(bodies_.missing_bytes());
  load.body_bytes_per_second = bodies_.bytes_per_second();
  return load;
}

protocol::upstream_report peer_server::Report() const {
  protocol::upstream_report report = dispatcher_.Report();
  report.load = Load();
  return report;
}

void peer_server::ReportUpstream() {
  const protocol::upstream_report report = Report();
  // A body that arrived now would be refused.
  if (!report.accepting) bodies_.GiveUpAll();
  for (auto& [key, session] : sessions_) {
    if (session.greeting_received) SendCountedData(context_.metrics, *session.link, report);
  }
}

}  // namespace cornelweir::plugins::sidecar
