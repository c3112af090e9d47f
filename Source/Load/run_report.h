#ifndef SOURCE_LOAD_RUN_REPORT_H_
#define SOURCE_LOAD_RUN_REPORT_H_

#include <json/value.h>

#include <string>
#include <vector>

#include "Load/load_run.h"
#include "Load/start_record.h"

namespace daisyroad {

struct Declaration;

// Returns the results of a run as a JSON object; docs/load.md describes its
// members.
Json::Value MakeReport(const Declaration& declaration,
                       const LoadRunResult& run,
                       const std::vector<StartRecord>& starts);

// Formats the report as text.
std::string ReportText(const Json::Value& report);

// Returns true if the run violated no invariant and every event succeeded.
bool IsClean(const Json::Value& report);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_RUN_REPORT_H_
