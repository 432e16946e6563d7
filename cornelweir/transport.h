#ifndef CORNELWEIR_TRANSPORT_H_
#define CORNELWEIR_TRANSPORT_H_

// Message links between the processes of the system: WebSocket over TCP, with or without TLS.

#include "cornelweir/src/transport/limits.h"
#include "cornelweir/src/transport/link.h"
#include "cornelweir/src/transport/listener.h"
#include "cornelweir/src/transport/tls_context.h"
#include "cornelweir/src/transport/transport_error.h"

#endif  // CORNELWEIR_TRANSPORT_H_
