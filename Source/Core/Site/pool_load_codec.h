#ifndef SOURCE_CORE_SITE_POOL_LOAD_CODEC_H_
#define SOURCE_CORE_SITE_POOL_LOAD_CODEC_H_

#include "Core/Common/json.h"
#include "Core/Jobs/pool_load.h"

namespace daisyroad {

// Converts a pool load to and from the JSON that instances exchange. Missing
// members are read as zero.
Json::Value ToJson(const PoolLoad& load);
PoolLoad ParsePoolLoad(const Json::Value& json);

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_POOL_LOAD_CODEC_H_
