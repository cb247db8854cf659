#ifndef LIMITS_LIMITS_H_
#define LIMITS_LIMITS_H_

/**
 * Module `limits`: limits that bind the sum over all entry instances, declared
 * shifts, and budgets of retries and hedges.
 */
#include "limits/budget_ledger.h"
#include "limits/rate_budget.h"
#include "limits/shift_schedule.h"

#endif  // LIMITS_LIMITS_H_
