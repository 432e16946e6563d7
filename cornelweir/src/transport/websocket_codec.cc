#include "cornelweir/src/transport/websocket_codec.h"

#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace cornelweir::transport::internal {
namespace {

// Size of the read buffer that websocketpp allocates for each connection. Received bytes only pass
// through it, so it can be small.
constexpr std::size_t kConnectionReadBufferBytes = 1024;

// websocketpp prescribes this member name.
// NOLINTBEGIN(readability-identifier-naming)
struct server_config : websocketpp::config::core {
  static const std::size_t connection_read_buffer_size = kConnectionReadBufferBytes;
};
struct client_config : websocketpp::config::core_client {
  static const std::size_t connection_read_buffer_size = kConnectionReadBufferBytes;
};
// NOLINTEND(readability-identifier-naming)

using server_endpoint = websocketpp::server<server_config>;
using client_endpoint = websocketpp::client<client_config>;

// The handshake requires a URI. It does not identify the peer: the address and certificate do.
constexpr char kHandshakeUri[] = "ws://cornelweir/v1";

// A websocketpp endpoint holds settings shared by all connections of one side. One endpoint per
// process is enough, because everything runs on one thread.
template <class Endpoint>
Endpoint& SharedEndpoint() {
  static Endpoint* const endpoint = [] {
    auto* new_endpoint = new Endpoint();
    new_endpoint->clear_access_channels(websocketpp::log::alevel::all);
    new_endpoint->clear_error_channels(websocketpp::log::elevel::all);
    return new_endpoint;
  }();
  return *endpoint;
}

}  // namespace

class websocket_codec::implementation {
 public:
  implementation(side local_side, std::size_t max_message_bytes, callbacks handlers)
      : local_side_(local_side), handlers_(std::move(handlers)) {
    if (local_side_ == side::kServer) {
      server_connection_ = SharedEndpoint<server_endpoint>().get_connection();
      Configure(*server_connection_, max_message_bytes);
    } else {
      websocketpp::lib::error_code error;
      client_connection_ = SharedEndpoint<client_endpoint>().get_connection(kHandshakeUri, error);
      Configure(*client_connection_, max_message_bytes);
    }
  }

  ~implementation() {
    // websocketpp may keep the connection alive after this object is destroyed, so its handlers
    // must no longer refer to this object.
    if (server_connection_) Detach(*server_connection_);
    if (client_connection_) Detach(*client_connection_);
  }

  void Start() {
    if (server_connection_) {
      server_connection_->start();
    } else {
      SharedEndpoint<client_endpoint>().connect(client_connection_);
    }
  }

  void Feed(const char* data, std::size_t size) {
    if (server_connection_) {
      server_connection_->read_all(data, size);
    } else {
      client_connection_->read_all(data, size);
    }
  }

  bool Send(const std::string& payload) {
    constexpr auto kBinary = websocketpp::frame::opcode::binary;
    return server_connection_ ? !server_connection_->send(payload, kBinary)
                              : !client_connection_->send(payload, kBinary);
  }

  void Ping() {
    websocketpp::lib::error_code ignored;
    if (server_connection_) {
      server_connection_->ping("", ignored);
    } else {
      client_connection_->ping("", ignored);
    }
  }

  void Close(const std::string& reason) {
    websocketpp::lib::error_code error;
    constexpr auto kNormal = websocketpp::close::status::normal;
    if (server_connection_) {
      server_connection_->close(kNormal, reason, error);
    } else {
      client_connection_->close(kNormal, reason, error);
    }
  }

 private:
  template <class Connection>
  void Configure(Connection& connection, std::size_t max_message_bytes) {
    connection.set_max_message_size(max_message_bytes);
    connection.set_write_handler(
        [this](const websocketpp::connection_hdl&, const char* data, std::size_t size) {
          handlers_.write(data, size);
          return websocketpp::lib::error_code();
        });
    connection.set_open_handler([this](const websocketpp::connection_hdl&) { handlers_.opened(); });
    connection.set_message_handler([this](const websocketpp::connection_hdl&,
                                          const typename Connection::message_ptr& message) {
      handlers_.message(message->get_payload());
    });
    connection.set_pong_handler(
        [this](const websocketpp::connection_hdl&, const std::string&) { handlers_.pong(); });
    connection.set_close_handler([this, &connection](const websocketpp::connection_hdl&) {
      handlers_.closed(connection.get_ec().message());
    });
    connection.set_fail_handler([this, &connection](const websocketpp::connection_hdl&) {
      handlers_.closed(connection.get_ec().message());
    });
  }

  template <class Connection>
  static void Detach(Connection& connection) {
    connection.set_write_handler([](const websocketpp::connection_hdl&, const char*, std::size_t) {
      return websocketpp::lib::error_code();
    });
    connection.set_open_handler(nullptr);
    connection.set_message_handler(nullptr);
    connection.set_pong_handler(nullptr);
    connection.set_close_handler(nullptr);
    connection.set_fail_handler(nullptr);
    connection.eof();
  }

  side local_side_;
  callbacks handlers_;
  server_endpoint::connection_ptr server_connection_;
  client_endpoint::connection_ptr client_connection_;
};

websocket_codec::websocket_codec(side local_side, std::size_t max_message_bytes, callbacks handlers)
    : implementation_(new implementation(local_side, max_message_bytes, std::move(handlers))) {}

websocket_codec::~websocket_codec() = default;

void websocket_codec::Start() { implementation_->Start(); }
void websocket_codec::Feed(const char* data, std::size_t size) {
  implementation_->Feed(data, size);
}
bool websocket_codec::Send(const std::string& payload) { return implementation_->Send(payload); }
void websocket_codec::Ping() { implementation_->Ping(); }
void websocket_codec::Close(const std::string& reason) { implementation_->Close(reason); }

}  // namespace cornelweir::transport::internal
