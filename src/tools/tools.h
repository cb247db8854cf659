#ifndef TOOLS_TOOLS_H_
#define TOOLS_TOOLS_H_

/**
 * Module `tools`: the operator tool `kumquatcove` and the load tool
 * `kumquatcove-load`.
 *
 * The operator tool sends commands to entry instances and shows the answers.
 * The load tool plays callers: it looks up entry instances, sends requests in
 * an open loop and checks every answer.
 */
#include "tools/answer_reader.h"
#include "tools/caller_connections.h"
#include "tools/catalogue_reader.h"
#include "tools/entry_directory.h"
#include "tools/exit_code.h"
#include "tools/http_client.h"
#include "tools/json_text.h"
#include "tools/load_generator.h"
#include "tools/load_report.h"
#include "tools/load_settings.h"
#include "tools/log_timeline.h"
#include "tools/operator_client.h"
#include "tools/operator_tool.h"
#include "tools/status_table.h"
#include "tools/timeline_page.h"

#endif  // TOOLS_TOOLS_H_
