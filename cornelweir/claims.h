#ifndef CORNELWEIR_CLAIMS_H_
#define CORNELWEIR_CLAIMS_H_

// Claims of idempotency keys: at most one attempt per key runs, and its response is stored.

#include "cornelweir/src/claims/claim.h"
#include "cornelweir/src/claims/claim_result.h"
#include "cornelweir/src/claims/claim_table.h"
#include "cornelweir/src/claims/claim_table_state.h"
#include "cornelweir/src/claims/limits.h"
#include "cornelweir/src/claims/stored_response.h"

#endif  // CORNELWEIR_CLAIMS_H_
