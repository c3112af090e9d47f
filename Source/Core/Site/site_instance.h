#ifndef SOURCE_CORE_SITE_SITE_INSTANCE_H_
#define SOURCE_CORE_SITE_SITE_INSTANCE_H_

#include <functional>
#include <memory>

#include "Core/Common/result.h"
#include "Core/Site/site_config.h"
#include "Core/Site/site_settings.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

class AdviceClient;
class EventLoop;
class HttpClient;
class JobService;
class MachineClient;
class RevisionStore;
class RunClient;
class SiteCodec;

// What an entry instance is given by the platform that it runs on. All must
// outlive the instance.
struct SitePlatform {
  EventLoop* loop = nullptr;
  HttpClient* http = nullptr;
  RevisionStore* store = nullptr;
  RunClient* workers = nullptr;
  MachineClient* machines = nullptr;
  AdviceClient* advisor = nullptr;
  SiteCodec* codec = nullptr;
};

// An entry instance: serves callers, and carries out the duties that fall to
// it.
class SiteInstance {
 public:
  SiteInstance(const SitePlatform& platform, const SiteSettings& settings);
  ~SiteInstance();
  SiteInstance(const SiteInstance&) = delete;
  SiteInstance& operator=(const SiteInstance&) = delete;

  JobService* jobs();
  // Called with each new version of the declaration.
  void OnConfig(std::function<void(const SiteConfig&)> listener);
  // Reads the settings again.
  void OnReload(std::function<Result<SiteSettings>()> reload);

  // Serves until a signal asks to stop. `callers` runs on the loop's thread.
  // Fails if an address cannot be bound.
  Status Run(HttpHandler callers);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_SITE_INSTANCE_H_
