#ifndef CORNELWEIR_PLUGINS_SIDECAR_CONTROL_LINK_END_H_
#define CORNELWEIR_PLUGINS_SIDECAR_CONTROL_LINK_END_H_

#include <cstdint>

namespace cornelweir::plugins::sidecar {

// Why a daemon has no link to a control host any more.
enum class control_link_end : std::uint8_t {
  // The link did not open.
  kUnreachable,
  // The host sent no update in time.
  kSilent,
  // The host sent updates that say that it is not current.
  kNotCurrent,
  // Any other reason, such as a link that the host closed.
  kClosed,
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_CONTROL_LINK_END_H_
