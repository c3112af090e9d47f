#ifndef SOURCE_STANDINS_COMMON_JSON_REPLY_H_
#define SOURCE_STANDINS_COMMON_JSON_REPLY_H_

#include <json/value.h>

#include "Core/Transport/http_message.h"

namespace daisyroad {

struct FaultSettings;

HttpResponse JsonReply(int status, const Json::Value& body);

// Serves POST /standin/faults; the answer is 204 or 400 with the reason.
HttpResponse SetFaults(const HttpRequest& request, FaultSettings* faults);

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_COMMON_JSON_REPLY_H_
