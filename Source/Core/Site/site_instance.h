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
class MetricsRegistry;
class RevisionStore;
class RunClient;
class SiteCodec;

// Services that the platform provides to an entry instance. All must outlive
// the instance.
struct SitePlatform {
  EventLoop* loop = nullptr;
  HttpClient* http = nullptr;  // for calls to other instances
  RevisionStore* store = nullptr;
  RunClient* workers = nullptr;
  MachineClient* machines = nullptr;
  AdviceClient* advisor = nullptr;
  SiteCodec* codec = nullptr;
  MetricsRegistry* metrics = nullptr;
};

// An entry instance: serves callers and performs the duties that it holds.
class SiteInstance {
 public:
  SiteInstance(const SitePlatform& platform, const SiteSettings& settings);
  ~SiteInstance();
  SiteInstance(const SiteInstance&) = delete;
  SiteInstance& operator=(const SiteInstance&) = delete;

  JobService* jobs();
  // Sets the function to call with each new version of the declaration.
  void OnConfig(std::function<void(const SiteConfig&)> listener);
  // Sets the function that reads the settings again, called on SIGHUP.
  void OnReload(std::function<Result<SiteSettings>()> reload);

  // Serves until a signal requests to stop. `callers` handles the requests of
  // callers on the thread of the loop. Fails if an address cannot be bound.
  Status Run(HttpHandler callers);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_SITE_SITE_INSTANCE_H_
