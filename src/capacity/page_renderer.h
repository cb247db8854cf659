#ifndef CAPACITY_PAGE_RENDERER_H_
#define CAPACITY_PAGE_RENDERER_H_

#include <string>
#include <string_view>

#include "capacity/figure_table.h"

namespace kumquatcove {

/** Returns `measured <= budget` in words: "within" or "missed". */
std::string Verdict(double measured, double budget);

/**
 * Fills figures into a template.
 *
 * `{{name:format}}` is a figure, `{{name@x:format}}` the measurement of a fit
 * at size x, `{{name/slope:format}}` the slope of a fit, and
 * `{{?name<=number}}` the verdict on a figure. Formats: `n` number, `n1` with
 * one decimal, `n2` and `n3` with so many significant digits, `k` thousands,
 * `M` millions, `pct` hundredths. Throws std::out_of_range for an unknown
 * figure and std::invalid_argument for a broken template.
 */
std::string RenderPage(std::string_view text, const FigureTable& figures);

}  // namespace kumquatcove

#endif  // CAPACITY_PAGE_RENDERER_H_
