#include "Core/Entry/explain_service.h"

#include <algorithm>
#include <utility>

#include "Core/Common/json.h"
#include "Core/Common/logging.h"
#include "Core/Control/control_document.h"
#include "Core/Diagnosis/evidence_codec.h"
#include "Core/Diagnosis/fault_classifier.h"
#include "Core/Entry/control_service.h"
#include "Core/Entry/entry_context.h"
#include "Core/Entry/peer_service.h"
#include "Core/Entry/problem.h"
#include "Core/Entry/worker_directory.h"
#include "Core/Platform/worker_client.h"
#include "Core/Transport/rpc_client.h"
#include "Core/Transport/rpc_protocol.h"

namespace daisyroad {
namespace {

// A quarter of the memory that design 1.4 allows per instance.
constexpr std::size_t kMaxLogBytes = 8'000'000;
constexpr std::chrono::minutes kMaxAge{15};
constexpr std::chrono::minutes kDefaultSpan{5};
// Maximum size of one peer's answer. With eight peers, one question transfers
// up to 2 MB.
constexpr std::size_t kMaxMessageBytes = 250'000;
constexpr Milliseconds kPeerTimeout{1500};
constexpr Milliseconds kProbeInterval{1000};
constexpr std::size_t kMaxProbingPeers = 2;
// Work waiting for a limit is retried many times a second, so refusals are
// recorded at most once per interval and team.
constexpr Milliseconds kRefusalInterval{500};
constexpr int kInvalidParams = -32602;

std::optional<std::chrono::seconds> ReadSeconds(const std::string& text) {
  if (text.empty() || text.size() > 6 ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::stol(text));
}

// Returns an empty value if the query has no subject or is malformed.
std::optional<Question> ReadQuestion(const HttpRequest& request,
                                     MonotonicTime now) {
  const std::string since = request.Query("since");
  const std::optional<std::chrono::seconds> span = ReadSeconds(since);
  if (!since.empty() && !span) {
    return std::nullopt;
  }
  Question question;
  question.to = now;
  question.from =
      now - std::min<Duration>(span.value_or(kDefaultSpan), kMaxAge);
  if (!request.Query("task").empty()) {
    question.subject = TaskQuestion{TaskId(request.Query("task"))};
    question.from = now - Duration(kMaxAge);
  } else if (!request.Query("service").empty()) {
    question.subject = ServiceQuestion{ServiceName(request.Query("service"))};
  } else if (span) {
    question.subject = SpanQuestion{};
  } else {
    return std::nullopt;
  }
  return question;
}

Json::Int64 WallMilliseconds(MonotonicTime at, MonotonicTime now) {
  const std::chrono::system_clock::duration age =
      std::chrono::duration_cast<std::chrono::system_clock::duration>(now - at);
  return Json::Int64(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch() - age)
          .count());
}

Json::Value ToJson(const Explanation& explanation, MonotonicTime now) {
  Json::Value body;
  body["verdict"] = VerdictName(explanation.verdict);
  if (explanation.other) {
    body["other"] = VerdictName(*explanation.other);
  }
  body["paragraph"] = explanation.paragraph;
  body["rows"] = Json::Value(Json::arrayValue);
  for (const ExplanationRow& row : explanation.rows) {
    Json::Value item;
    item["at"] = WallMilliseconds(row.at, now);
    item["observation"] = row.observation;
    item["for"] = row.supports;
    item["against"] = row.contradicts;
    body["rows"].append(item);
  }
  return body;
}

}  // namespace

ExplainService::ExplainService(EntryContext* context,
                               PeerService* peers,
                               ControlService* control,
                               WorkerDirectory* directory)
    : context(context),
      peers(peers),
      control(control),
      directory(directory),
      log(kMaxLogBytes, kMaxAge) {
  context->evidence = this;
}

void ExplainService::Start() {
  this->control->AddListener([this]() { this->OnVersion(); });
}

void ExplainService::Record(MonotonicTime at, ObservationDetail detail) {
  const MonotonicTime now = Now();
  if (const Refusal* const refusal = std::get_if<Refusal>(&detail)) {
    MonotonicTime& last = this->last_recorded_refusals[refusal->team];
    if (now - last < kRefusalInterval) {
      return;
    }
    last = now;
  }
  this->log.Add({at, detail}, now);
  const WorkerContact* const contact = std::get_if<WorkerContact>(&detail);
  if (contact != nullptr && !contact->reached) {
    this->OnWorkerUnreachable(*contact);
  }
}

// Asks peers in other zones to probe the worker as well, because only their
// results distinguish a dead worker from a broken network path to it.
void ExplainService::OnWorkerUnreachable(const WorkerContact& contact) {
  const MonotonicTime now = Now();
  MonotonicTime& last = this->last_probe_requests[contact.worker];
  if (contact.observer != this->context->self || now - last < kProbeInterval) {
    return;
  }
  last = now;
  Json::Value params;
  params["worker"] = contact.worker.str();
  std::set<ZoneName> zones = {this->context->zone};
  for (const PeerService::Peer& peer : this->peers->Live()) {
    if (zones.size() <= kMaxProbingPeers && zones.insert(peer.zone).second) {
      this->context->rpc->Call(peer.address, "diagnosis.probe", params,
                               kPeerTimeout, [](const Result<Json::Value>&) {});
    }
  }
}

Json::Value ExplainService::ServeProbe(const Json::Value& params) {
  const Result<std::string> name = JsonString(params, "worker");
  if (!name.ok()) {
    throw RpcFailure{kInvalidParams, name.error().ToString()};
  }
  const WorkerInfo* const worker =
      this->directory->Find(WorkerName(name.value()));
  if (worker != nullptr) {
    const MonotonicTime sent = Now();
    WorkerContact contact{this->context->self, worker->listed.name,
                          worker->pool,        this->context->zone,
                          worker->listed.zone, false};
    this->context->workers->Status(
        worker->listed.address, true,
        [this, sent, contact](const Result<WorkerStatus>& status) mutable {
          contact.reached = status.ok();
          this->log.Add({sent, contact}, Now());
        });
  }
  return Json::Value(Json::objectValue);
}

Json::Value ExplainService::ServeEvidence(const Json::Value& params) const {
  const Result<std::int64_t> span = JsonInt(params, "span_ms");
  if (!span.ok() || span.value() < 0) {
    throw RpcFailure{kInvalidParams, "span_ms must be a non-negative integer"};
  }
  const MonotonicTime now = Now();
  const Duration bounded_span = span.value() < Milliseconds(kMaxAge).count()
                                    ? Duration(Milliseconds(span.value()))
                                    : Duration(kMaxAge);
  Json::Value result;
  result["observations"] = EvidenceToJson(
      this->log.Between(now - bounded_span, now), now, kMaxMessageBytes);
  return result;
}

void ExplainService::Handle(const HttpRequest& request,
                            const HttpResponder& respond) {
  const MonotonicTime now = Now();
  const std::optional<Question> question = ReadQuestion(request, now);
  if (!question) {
    respond(PlainProblem(400, "malformed question",
                         "task=ID, service=NAME or since=SECONDS is needed"));
    return;
  }
  const ServiceQuestion* const service =
      std::get_if<ServiceQuestion>(&question->subject);
  if (service != nullptr &&
      this->control->declaration().FindService(service->service) == nullptr) {
    respond(
        PlainProblem(404, "not found", "no service " + service->service.str()));
    return;
  }
  const std::shared_ptr<PendingExplanation> pending =
      std::make_shared<PendingExplanation>();
  pending->question = *question;
  pending->observations = this->log.Between(question->from, now);
  pending->respond = respond;
  const std::vector<PeerService::Peer> live = this->peers->Live();
  pending->unanswered_peers = live.size();
  for (const PeerService::Peer& peer : live) {
    this->AskPeer(peer.address, pending);
  }
  if (live.empty()) {
    this->Answer(*pending);
  }
}

void ExplainService::AskPeer(
    const std::string& address,
    const std::shared_ptr<PendingExplanation>& pending) {
  Json::Value params;
  params["span_ms"] =
      Json::Int64(std::chrono::duration_cast<Milliseconds>(
                      pending->question.to - pending->question.from)
                      .count());
  this->context->rpc->Call(
      address, "diagnosis.evidence", params, kPeerTimeout,
      [this, address, pending](const Result<Json::Value>& reply) {
        const Result<std::vector<Observation>> seen =
            reply.ok() ? EvidenceFromJson(reply.value()["observations"], Now())
                       : Result<std::vector<Observation>>(reply.error());
        if (seen.ok()) {
          pending->observations.insert(pending->observations.end(),
                                       seen.value().begin(),
                                       seen.value().end());
        } else {
          CLOG(INFO, kDaemonLog) << "no evidence from " << address << ": "
                                 << seen.error().ToString();
        }
        if (--pending->unanswered_peers == 0) {
          this->Answer(*pending);
        }
      });
}

void ExplainService::Answer(const PendingExplanation& pending) const {
  const Explanation explanation = FaultClassifier::Explain(
      pending.question, this->control->declaration(), pending.observations);
  HttpResponse response;
  response.headers["content-type"] = "application/json";
  response.body = WriteJson(ToJson(explanation, Now()));
  pending.respond(std::move(response));
}

void ExplainService::RecordConfigurationChange(ConfigurationEffect effect,
                                               const std::string& subject) {
  this->Record(Now(), ConfigurationAdopted{this->version, effect, subject});
}

void ExplainService::OnVersion() {
  const ControlDocument& document = this->control->document();
  const bool is_first_version = this->version == 0;
  const Declaration before =
      std::exchange(this->declaration, this->control->declaration());
  const std::set<ZoneName> out_before =
      std::exchange(this->zones_out, document.zones_out());
  const KeyTable keys_before = std::exchange(this->keys, document.keys());
  this->version = document.version();
  // An instance that has just started has no earlier version to compare with.
  if (is_first_version) {
    return;
  }
  for (const Team& team : this->declaration.teams) {
    const Team* const old = before.FindTeam(team.name);
    if (old != nullptr && old->upper_limit != team.upper_limit) {
      this->RecordConfigurationChange(ConfigurationEffect::kLimit,
                                      team.name.str());
    }
  }
  for (const TaskQueue& queue : before.queues) {
    const TaskQueue* const changed = this->declaration.FindQueue(queue.name);
    if (changed == nullptr || !(*changed == queue)) {
      this->RecordConfigurationChange(ConfigurationEffect::kQueue,
                                      queue.name.str());
    }
  }
  for (const ZoneName& zone : this->zones_out) {
    if (out_before.count(zone) == 0) {
      this->RecordConfigurationChange(ConfigurationEffect::kZoneOut,
                                      zone.str());
    }
  }
  for (const auto& [id, record] : this->keys.records()) {
    const auto old = keys_before.records().find(id);
    const TeamKey* const holder = std::get_if<TeamKey>(&record.holder);
    if (holder != nullptr && record.withdrawn &&
        old != keys_before.records().end() && !old->second.withdrawn) {
      this->RecordConfigurationChange(ConfigurationEffect::kKeyWithdrawn,
                                      holder->team.str());
    }
  }
}

}  // namespace daisyroad
