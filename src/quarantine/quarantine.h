#ifndef QUARANTINE_QUARANTINE_H_
#define QUARANTINE_QUARANTINE_H_

/**
 * Module `quarantine`: prevents requests that crash upstreams from being sent
 * to one upstream after another.
 */
#include "quarantine/suspicion_table.h"

#endif  // QUARANTINE_QUARANTINE_H_
