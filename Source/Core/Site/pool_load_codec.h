#ifndef SOURCE_CORE_SITE_POOL_LOAD_CODEC_H_
#define SOURCE_CORE_SITE_POOL_LOAD_CODEC_H_

#include "Core/Common/json.h"
#include "Core/Jobs/pool_load.h"

namespace daisyroad {

// JSON of a load between instances. Members that are missing read as zero.
Json::Value ToJson(const PoolLoad& load);
PoolLoad ParsePoolLoad(const Json::Value& json);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_POOL_LOAD_CODEC_H_
