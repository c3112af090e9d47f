#ifndef SOURCE_STANDINS_COMMON_JSON_REPLY_H_
#define SOURCE_STANDINS_COMMON_JSON_REPLY_H_

#include <json/value.h>

#include "Core/Transport/http_message.h"

namespace daisyroad {

struct FaultSettings;

HttpResponse JsonReply(int status, const Json::Value& body);

// Handles POST /standin/faults. Responds with 204, or with 400 and the reason.
HttpResponse SetFaults(const HttpRequest& request, FaultSettings* faults);

}  // namespace daisyroad

#endif  // SOURCE_STANDINS_COMMON_JSON_REPLY_H_
