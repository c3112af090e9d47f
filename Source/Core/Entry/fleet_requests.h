#ifndef SOURCE_CORE_ENTRY_FLEET_REQUESTS_H_
#define SOURCE_CORE_ENTRY_FLEET_REQUESTS_H_

#include <functional>
#include <string>

#include "Core/Common/identifiers.h"
#include "Core/Common/result.h"
#include "Core/Entry/fleet_sources.h"
#include "Core/Fleet/pool_ledger.h"

namespace daisyroad {

struct EntryContext;
class FleetRecords;
class FleetStore;

// Requests of operators, which any instance takes: each is one record written
// to the store, on which the chosen instance acts.
class FleetRequests {
 public:
  using StepCallback = std::function<void(const Result<InstanceStep>&)>;
  using PauseCallback = std::function<void(const Result<bool>&)>;

  FleetRequests(EntryContext* entry_context,
                FleetSources fleet_sources,
                FleetRecords* fleet_records,
                FleetStore* fleet_store);

  // kTimeout: not known whether it was written. kConflict: the instance has
  // another operation, or another operator was faster.
  void Move(const WorkerName& worker,
            const PoolName& target,
            const StepCallback& callback);
  // Drains and reboots the instance, which then returns to its pool.
  void Drain(const WorkerName& worker, const StepCallback& callback);
  // Holds, or allows, the beginning of maintenance in the whole site.
  void SetPaused(bool paused,
                 const std::string& author,
                 const PauseCallback& callback);

 private:
  using Decide = std::function<Result<WriteInstance>(const std::string&)>;

  void Request(const WorkerName& worker,
               const std::string& verb,
               const Decide& decide,
               const StepCallback& callback);
  void Write(const WriteInstance& write,
             const std::string& verb,
             const StepCallback& callback);
  void WritePause(bool paused,
                  const std::string& author,
                  const PauseCallback& callback);
  std::string NextChange();

  EntryContext* context;
  FleetSources sources;
  FleetRecords* records;
  FleetStore* store;
  std::uint64_t changes = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_REQUESTS_H_
