#ifndef CLAIMS_CLAIMS_H_
#define CLAIMS_CLAIMS_H_

/**
 * Module `claims`: ensures that non-idempotent requests run at most once.
 */
#include "claims/claim_table.h"

#endif  // CLAIMS_CLAIMS_H_
