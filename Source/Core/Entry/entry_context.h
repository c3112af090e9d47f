#ifndef SOURCE_CORE_ENTRY_ENTRY_CONTEXT_H_
#define SOURCE_CORE_ENTRY_ENTRY_CONTEXT_H_

#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/time.h"
#include "Core/Config/settings.h"

namespace daisyroad {

class DecisionLog;
class EventLoop;
class EvidenceSink;
class HttpClient;
class InstanceListClient;
class MetricsRegistry;
class Random;
class RpcClient;
class StoreClient;
class WorkerClient;

// Resources shared by the services of one entry instance. EntryInstance owns
// them.
struct EntryContext {
  Settings settings;
  EntryName self;  // name and incarnation, for example "entry-1.18f3a2"
  ZoneName zone;
  EventLoop* loop = nullptr;
  HttpClient* http = nullptr;
  RpcClient* rpc = nullptr;
  StoreClient* store = nullptr;
  InstanceListClient* instance_list = nullptr;
  WorkerClient* workers = nullptr;
  MetricsRegistry* metrics = nullptr;
  DecisionLog* decisions = nullptr;
  Random* random = nullptr;
  EvidenceSink* evidence = nullptr;  // null until ExplainService exists
};

MonotonicTime Now();

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_ENTRY_CONTEXT_H_
