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

// Stores the observations of this instance and explains faults from them and
// from those of its peers.
class ExplainService : public EvidenceSink {
 public:
  ExplainService(EntryContext* context,
                 PeerService* peers,
                 ControlService* control,
                 WorkerDirectory* directory);

  // Subscribes to new configuration versions.
  void Start();
  void Record(MonotonicTime at, ObservationDetail detail) override;
  // RPC method `diagnosis.evidence`: returns the observations of the last
  // `span_ms` milliseconds.
  Json::Value ServeEvidence(const Json::Value& params) const;
  // RPC method `diagnosis.probe`: probes a worker and records the result.
  Json::Value ServeProbe(const Json::Value& params);
  // Serves `GET /v1/ops/explain`. The operator has already been authenticated.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  // Evidence being gathered to answer one question.
  struct PendingExplanation {
    Question question;
    std::vector<Observation> observations;
    // Peers that have neither answered nor failed.
    std::size_t unanswered_peers = 0;
    HttpResponder respond;
  };

  void OnVersion();
  void RecordConfigurationChange(ConfigurationEffect effect,
                                 const std::string& subject);
  void OnWorkerUnreachable(const WorkerContact& contact);
  void AskPeer(const std::string& address,
               const std::shared_ptr<PendingExplanation>& pending);
  void Answer(const PendingExplanation& pending) const;

  EntryContext* context;
  PeerService* peers;
  ControlService* control;
  WorkerDirectory* directory;
  EvidenceLog log;
  // When peers were last asked to probe a worker, and when a reached limit was
  // last recorded for a team. Both rate-limit these actions.
  std::map<WorkerName, MonotonicTime> last_probe_requests;
  std::map<TeamName, MonotonicTime> last_recorded_refusals;
  // The configuration version that the next one is compared with.
  std::uint64_t version = 0;
  Declaration declaration;
  std::set<ZoneName> zones_out;
  KeyTable keys;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_EXPLAIN_SERVICE_H_
