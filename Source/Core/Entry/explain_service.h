#ifndef SOURCE_CORE_ENTRY_EXPLAIN_SERVICE_H_
#define SOURCE_CORE_ENTRY_EXPLAIN_SERVICE_H_

#include <json/value.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "Core/Declaration/declaration.h"
#include "Core/Diagnosis/evidence_log.h"
#include "Core/Diagnosis/evidence_sink.h"
#include "Core/Diagnosis/question.h"
#include "Core/Keys/key_table.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

struct EntryContext;
class ControlService;
class PeerService;
class WorkerDirectory;

// Keeps the observations of this instance and explains faults by them and by
// those of its peers.
class ExplainService : public EvidenceSink {
 public:
  ExplainService(EntryContext* context,
                 PeerService* peers,
                 ControlService* control,
                 WorkerDirectory* directory);

  // Follows the versions that come into force.
  void Start();
  void Record(MonotonicTime at, ObservationDetail detail) override;
  // RPC method `diagnosis.evidence`: observations since `span_ms` ago.
  Json::Value ServeEvidence(const Json::Value& params) const;
  // RPC method `diagnosis.probe`: asks a worker for its status.
  Json::Value ServeProbe(const Json::Value& params);
  // `GET /v1/ops/explain`, after the operator's key has been checked.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  // Evidence that is being gathered for one answer.
  struct Inquiry {
    Question question;
    std::vector<Observation> observations;
    std::size_t open = 0;  // peers that have not answered
    HttpResponder respond;
  };

  void OnVersion();
  void Adopted(ConfigurationEffect effect, const std::string& subject);
  void OnUnreached(const WorkerContact& contact);
  void AskPeer(const std::string& address,
               const std::shared_ptr<Inquiry>& inquiry);
  void Answer(const Inquiry& inquiry) const;

  EntryContext* context;
  PeerService* peers;
  ControlService* control;
  WorkerDirectory* directory;
  EvidenceLog log;
  // When peers were last asked to probe a worker, and when a limit was last
  // recorded as reached.
  std::map<WorkerName, MonotonicTime> probed;
  std::map<TeamName, MonotonicTime> refused;
  // The configuration that was last compared.
  std::uint64_t version = 0;
  Declaration declaration;
  std::set<ZoneName> zones_out;
  KeyTable keys;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_EXPLAIN_SERVICE_H_
