#ifndef SOURCE_CORE_PLATFORM_INSTANCE_LIST_CLIENT_H_
#define SOURCE_CORE_PLATFORM_INSTANCE_LIST_CLIENT_H_

#include <functional>
#include <vector>

#include "Core/Common/result.h"
#include "Core/Platform/listed_instance.h"

namespace daisyroad {

// Fetches the platform's list of instances, both live and leaving.
class InstanceListClient {
 public:
  using Callback = std::function<void(Result<std::vector<ListedInstance>>)>;

  virtual ~InstanceListClient() = default;

  virtual void Fetch(Callback callback) = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_PLATFORM_INSTANCE_LIST_CLIENT_H_
