#ifndef MEASURE_MEASURE_H_
#define MEASURE_MEASURE_H_

/**
 * Module `measure`: the program `kumquatcove-measure`, which measures the
 * system and its baselines in local deployments and checks the targets of the
 * design page.
 *
 * `Measurement` runs scenarios and fills a `FigureTable`; `CheckTargets` and
 * the reports only read it.
 */
#include "measure/cost_probe.h"
#include "measure/deployment_profile.h"
#include "measure/figure_table.h"
#include "measure/latency_distribution.h"
#include "measure/load_figures.h"
#include "measure/load_run.h"
#include "measure/lookup_probe.h"
#include "measure/measure_settings.h"
#include "measure/measurement.h"
#include "measure/metric.h"
#include "measure/number_text.h"
#include "measure/page_report.h"
#include "measure/process_start.h"
#include "measure/scenario_runner.h"
#include "measure/statistics.h"
#include "measure/svg_plot.h"
#include "measure/target_check.h"
#include "measure/text_report.h"

#endif  // MEASURE_MEASURE_H_
