#ifndef CAPACITY_CAPACITY_H_
#define CAPACITY_CAPACITY_H_

/**
 * Module `capacity`: measures how the cost of each mechanism grows with the
 * size of the deployment, and computes from it what the size of section 1.6 of
 * `docs/design.md` needs.
 */
#include "capacity/benchmarks.h"
#include "capacity/capacity_page.h"
#include "capacity/figure_table.h"
#include "capacity/line_fit.h"
#include "capacity/page_renderer.h"
#include "capacity/role_arithmetic.h"

#endif  // CAPACITY_CAPACITY_H_
