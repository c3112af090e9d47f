#ifndef SOURCE_CORE_SITE_SITE_CODEC_H_
#define SOURCE_CORE_SITE_SITE_CODEC_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Jobs/worker_listing.h"
#include "Core/Platform/revision_store.h"
#include "Core/Site/operator_state.h"

namespace daisyroad {

// How a platform spells what others write into its store.
class SiteCodec {
 public:
  virtual ~SiteCodec() = default;

  virtual std::string OperatorPrefix() const = 0;
  // Brings `state` up to date with all items below the prefix; items that did
  // not change keep their decoded form. Items that cannot be read are logged
  // and leave what was known before.
  virtual void DecodeOperator(const std::vector<StoreItem>& items,
                              OperatorState* state) = 0;

  virtual std::string WorkerPrefix() const = 0;
  // An error for entries that name no worker.
  virtual Result<WorkerListing> DecodeWorker(const std::string& key,
                                             const std::string& value) = 0;

  // The entry that tells operators how far a wave is.
  virtual StoreWrite EncodeWaveStatus(std::int64_t wave, bool is_complete) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_SITE_CODEC_H_
