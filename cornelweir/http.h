#ifndef CORNELWEIR_HTTP_H_
#define CORNELWEIR_HTTP_H_

// HTTP/1.1: an administration server and client, a pipelining server, an upstream client, and a
// streaming proxy with pooled connections.

#include "cornelweir/src/http/admin_client.h"
#include "cornelweir/src/http/admin_server.h"
#include "cornelweir/src/http/client.h"
#include "cornelweir/src/http/connect_probe.h"
#include "cornelweir/src/http/connection_pool.h"
#include "cornelweir/src/http/endpoint_address.h"
#include "cornelweir/src/http/exchange.h"
#include "cornelweir/src/http/forward_result.h"
#include "cornelweir/src/http/header_list.h"
#include "cornelweir/src/http/held_text.h"
#include "cornelweir/src/http/http_error.h"
#include "cornelweir/src/http/http_result.h"
#include "cornelweir/src/http/limits.h"
#include "cornelweir/src/http/local_response.h"
#include "cornelweir/src/http/pipeline_server.h"
#include "cornelweir/src/http/proxy_server.h"
#include "cornelweir/src/http/request_head.h"
#include "cornelweir/src/http/response_parser.h"
#include "cornelweir/src/http/status_code.h"
#include "cornelweir/src/http/upstream_client.h"
#include "cornelweir/src/http/whole_message.h"

#endif  // CORNELWEIR_HTTP_H_
