#ifndef CORNELWEIR_SETTINGS_H_
#define CORNELWEIR_SETTINGS_H_

// The daemon's settings file: JSON with comments, read into typed structs.

#include "cornelweir/src/settings/control_peer.h"
#include "cornelweir/src/settings/control_settings.h"
#include "cornelweir/src/settings/daemon_settings.h"
#include "cornelweir/src/settings/endpoint_text.h"
#include "cornelweir/src/settings/grace_period.h"
#include "cornelweir/src/settings/limits.h"
#include "cornelweir/src/settings/load_settings.h"
#include "cornelweir/src/settings/proxy_settings.h"
#include "cornelweir/src/settings/quota_settings.h"
#include "cornelweir/src/settings/settings_error.h"
#include "cornelweir/src/settings/sidecar_settings.h"
#include "cornelweir/src/settings/tls_settings.h"

#endif  // CORNELWEIR_SETTINGS_H_
