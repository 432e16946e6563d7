#ifndef CORNELWEIR_PLUGINS_SIDECAR_DATA_FRAME_H_
#define CORNELWEIR_PLUGINS_SIDECAR_DATA_FRAME_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/protocol.h"
#include "cornelweir/src/codec/direct_cbor.h"
#include "cornelweir/transport.h"

namespace cornelweir::plugins::sidecar {

// Sends a message to another daemon, followed by an unencoded payload. Returns the result of
// link::Send().
inline bool SendData(transport::link& link, const protocol::data_message& message,
                     std::string_view payload = {}) {
  return link.Send(codec::Frame(codec::EncodeDirectly(message), payload));
}

// A decoded message and its payload, which refers to the buffer that was read.
struct data_frame {
  protocol::data_message message;
  std::string_view payload;
};

// Decodes a frame. The payload refers to bytes. Errors carry a codec_error.
inline boost::leaf::result<data_frame> ReadData(std::string_view bytes) {
  BOOST_LEAF_AUTO(frame, codec::Unframe(bytes));
  BOOST_LEAF_AUTO(message, codec::DecodeDirectly<protocol::data_message>(frame.header,
                                                                         codec::kMaxMessageBytes));
  return data_frame{std::move(message), frame.payload};
}

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_DATA_FRAME_H_
