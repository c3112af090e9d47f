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

// Encodes and decodes store entries that are not in daisyroad's own format but
// in that of the platform.
class SiteCodec {
 public:
  virtual ~SiteCodec() = default;

  virtual std::string OperatorPrefix() const = 0;
  // Key of the declaration. It sorts before all other operators' entries that
  // have a meaning here.
  virtual std::string ConfigKey() const = 0;
  // Updates `state` from all items below the prefix. The declaration may be
  // omitted if it has not changed. Items that cannot be decoded are logged, and
  // their previous state is kept.
  virtual void DecodeOperator(const std::vector<StoreItem>& items,
                              OperatorState* state) = 0;

  virtual std::string WorkerPrefix() const = 0;
  // Returns an error for entries that do not describe a worker.
  virtual Result<WorkerListing> DecodeWorker(const std::string& key,
                                             const std::string& value) = 0;

  // Returns the entry that shows operators the status of a wave.
  virtual StoreWrite EncodeWaveStatus(std::int64_t wave, bool is_complete) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_SITE_CODEC_H_
