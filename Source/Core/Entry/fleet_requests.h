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

// Handles operators' requests on any instance. Each request writes one record
// to the store, on which the leader acts.
class FleetRequests {
 public:
  using StepCallback = std::function<void(const Result<InstanceStep>&)>;
  using PauseCallback = std::function<void(const Result<bool>&)>;

  FleetRequests(EntryContext* entry_context,
                FleetSources fleet_sources,
                FleetRecords* fleet_records,
                FleetStore* fleet_store);

  // kTimeout means that it is unknown whether the record was written. kConflict
  // means that the instance has another operation or that another request was
  // written first.
  void Move(const WorkerName& worker,
            const PoolName& target,
            const StepCallback& callback);
  // Drains and reboots the instance and returns it to its pool.
  void Drain(const WorkerName& worker, const StepCallback& callback);
  // Pauses or resumes the start of maintenance in the whole site.
  void SetPaused(bool paused,
                 const std::string& author,
                 const PauseCallback& callback);

 private:
  using MakeWrite = std::function<Result<WriteInstance>(const std::string&)>;

  void Request(const WorkerName& worker,
               const std::string& verb,
               const MakeWrite& make_write,
               const StepCallback& callback);
  void Write(const WriteInstance& write,
             const std::string& verb,
             const StepCallback& callback);
  void WritePause(bool paused,
                  const std::string& author,
                  const PauseCallback& callback);
  std::string NextChangeId();

  EntryContext* context;
  FleetSources sources;
  FleetRecords* records;
  FleetStore* store;
  std::uint64_t change_count = 0;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_FLEET_REQUESTS_H_
