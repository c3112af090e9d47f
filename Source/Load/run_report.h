#ifndef SOURCE_LOAD_RUN_REPORT_H_
#define SOURCE_LOAD_RUN_REPORT_H_

#include <json/value.h>

#include <string>
#include <vector>

#include "Load/load_run.h"
#include "Load/start_record.h"

namespace daisyroad {

struct Declaration;

// Figures of a run as one JSON object; its members are in docs/load.md.
Json::Value MakeReport(const Declaration& declaration,
                       const LoadRunResult& run,
                       const std::vector<StartRecord>& starts);

// The same figures for people.
std::string ReportText(const Json::Value& report);

// True if no promise was broken in the run.
bool IsClean(const Json::Value& report);

}  // namespace daisyroad

#endif  // SOURCE_LOAD_RUN_REPORT_H_
