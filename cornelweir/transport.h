#ifndef CORNELWEIR_TRANSPORT_H_
#define CORNELWEIR_TRANSPORT_H_

// Links between the system's own processes: WebSocket messages over TCP, with TLS or without.

#include "cornelweir/src/transport/limits.h"
#include "cornelweir/src/transport/link.h"
#include "cornelweir/src/transport/listener.h"
#include "cornelweir/src/transport/tls_context.h"
#include "cornelweir/src/transport/transport_error.h"

#endif  // CORNELWEIR_TRANSPORT_H_
