#include "Core/Fleet/pool_ledger.h"

namespace daisyroad {
namespace {

Error RequestError(Errc code,
                   const WorkerName& worker,
                   const std::string& detail) {
  return Error{code, "instance.request", worker.str(), detail};
}

}  // namespace

void PoolLedger::Apply(const Versioned<InstanceRecord>& record) {
  Versioned<InstanceRecord>& known = this->records[record.value.worker];
  if (record.version > known.version) {
    known = record;
  }
}

const Versioned<InstanceRecord>* PoolLedger::Find(
    const WorkerName& worker) const {
  const auto found = this->records.find(worker);
  return found == this->records.end() ? nullptr : &found->second;
}

std::vector<WorkerName> PoolLedger::Members(const PoolName& pool) const {
  std::vector<WorkerName> members;
  for (const InstanceTable::value_type& entry : this->records) {
    if (entry.second.value.pool == pool) {
      members.push_back(entry.first);
    }
  }
  return members;
}

Result<WriteInstance> PoolLedger::RequestMove(const WorkerName& worker,
                                              const PoolName& source,
                                              const PoolName& target,
                                              const std::string& change) const {
  const Versioned<InstanceRecord>* known = this->Find(worker);
  if (known != nullptr && known->value.pool != source) {
    return RequestError(Errc::kConflict, worker,
                        "is in pool " + known->value.pool.str());
  }
  if (target.empty() || target == source) {
    return RequestError(
        Errc::kInvalidArgument, worker,
        "the target pool must be set and differ from the source pool");
  }
  return this->Request(worker, target, 0, change);
}

Result<WriteInstance> PoolLedger::RequestMaintenance(
    const WorkerName& worker,
    std::int64_t cycle,
    const std::string& change) const {
  const Versioned<InstanceRecord>* known = this->Find(worker);
  if (known != nullptr && known->value.maintained_cycle >= cycle) {
    return RequestError(Errc::kConflict, worker,
                        "is already maintained in this or a later interval");
  }
  return this->Request(
      worker, known == nullptr ? PoolName() : known->value.pool, cycle, change);
}

Result<WriteInstance> PoolLedger::RequestDrain(
    const WorkerName& worker,
    const std::string& change) const {
  const Versioned<InstanceRecord>* known = this->Find(worker);
  return this->Request(
      worker, known == nullptr ? PoolName() : known->value.pool, 0, change);
}

Result<WriteInstance> PoolLedger::Request(const WorkerName& worker,
                                          const PoolName& target,
                                          std::int64_t cycle,
                                          const std::string& change) const {
  const Versioned<InstanceRecord>* known = this->Find(worker);
  if (known == nullptr) {
    return RequestError(Errc::kNotFound, worker, "no such instance");
  }
  if (known->value.Busy()) {
    return RequestError(Errc::kConflict, worker,
                        "operation " + known->value.operation + " is at step " +
                            ToString(known->value.step));
  }
  WriteInstance write{known->value, known->version, change};
  write.record.step = InstanceStep::kRequested;
  write.record.operation = worker.str() + "@" + std::to_string(known->version);
  write.record.operation_base = known->version;
  write.record.operation_cycle = cycle;
  write.record.target = target;
  write.record.AddChange(change);
  return write;
}

RecordWriteOutcome PoolLedger::DetermineOutcome(
    const WriteInstance& write,
    const std::optional<Versioned<InstanceRecord>>& read_back) {
  if (read_back && read_back->value.HasChange(write.change)) {
    return RecordWriteOutcome::kApplied;
  }
  const std::int64_t version = read_back ? read_back->version : 0;
  return version == write.expected_version ? RecordWriteOutcome::kNotApplied
                                           : RecordWriteOutcome::kSuperseded;
}

}  // namespace daisyroad
