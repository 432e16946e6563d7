#include "plugins/sidecar/peer_server.h"

#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "plugins/greeting.h"
#include "plugins/sidecar/data_frame.h"

namespace cornelweir::plugins::sidecar {

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

void peer_server::CloseAfterDrain(std::function<void()> done) {
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
    SendData(*link, dispatcher_.Report());
    return;
  }
  const auto frame = ReadData(payload);
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
    inbound_request& added = sender.requests[run->id];
    added.request = *run;
    added.arrived_at = context_.pauses.InputArrival(context_.clock.Now());
    AppendBody(sender, run->id, payload, run->last);
  } else if (const auto* piece = std::get_if<protocol::body_piece>(&message)) {
    const auto found = sender.requests.find(piece->id);
    if (found == sender.requests.end() || found->second.complete) return;
    AppendBody(sender, piece->id, payload, piece->last);
  } else if (const auto* cancel = std::get_if<protocol::cancel_request>(&message)) {
    bulk_.Cancel(sender.link.get(), cancel->id);
    const auto found = sender.requests.find(cancel->id);
    if (found == sender.requests.end()) return;
    const inbound_request ended = std::move(found->second);
    sender.requests.erase(found);
    if (ended.complete) {
      dispatcher_.Cancel(ended.ticket);
    } else {
      sender.body_bytes -= ended.body.size();
    }
  } else if (const auto* probe = std::get_if<protocol::link_probe>(&message)) {
    SendData(*sender.link, *probe);
  } else if (std::holds_alternative<protocol::body_piece_ack>(message)) {
    bulk_.OnPieceAcknowledged(sender.link.get());
  }
}

void peer_server::AppendBody(session& sender, kernel::call_id id, std::string_view bytes,
                             bool last) {
  sender.body_bytes += bytes.size();
  if (sender.body_bytes > protocol::kMaxLinkBodyBytes) {
    logging::event(logging::event_id::kMessageRefused).With("reason", "request bodies too large");
    sender.link->Close("request bodies too large");
    return;
  }
  std::string& body = sender.requests.at(id).body;
  body.append(bytes);
  if (!last) return;
  sender.body_bytes -= body.size();
  StartRun(sender, id);
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
  if (found == sessions_.end() || found->second.requests.erase(id) == 0) return;
  if (!result.response) {
    SendData(*link, protocol::run_failed{id, result.failure, result.retry_after, dispatcher_.Load(),
                                         result.nested});
    return;
  }
  protocol::run_response response;
  response.id = id;
  response.status = result.response->status;
  response.headers = std::move(result.response->headers);
  response.load = dispatcher_.Load();
  response.nested = result.nested;
  if (!bulk_sender::IsLarge(result.response->body.size())) {
    SendWithBody(*link, std::move(response), result.response->body);
    return;
  }
  response.last = false;
  SendData(*link, std::move(response));
  bulk_.Send(link, id, std::move(result.response->body));
}

// Cancels the requests received on the link, since their results cannot be sent.
void peer_server::OnClosed(const transport::link* link) {
  const auto found = sessions_.find(link);
  if (found == sessions_.end()) return;
  bulk_.OnClosed(link);
  const auto requests = std::move(found->second.requests);
  sessions_.erase(found);
  for (const auto& [id, ended] : requests) {
    if (ended.complete) dispatcher_.Cancel(ended.ticket);
  }
}

void peer_server::ReportUpstream() {
  const protocol::upstream_report report = dispatcher_.Report();
  for (auto& [key, session] : sessions_) {
    if (session.greeting_received) SendData(*session.link, report);
  }
}

}  // namespace cornelweir::plugins::sidecar
