#ifndef SOURCE_CORE_DIAGNOSIS_OBSERVATION_H_
#define SOURCE_CORE_DIAGNOSIS_OBSERVATION_H_

#include <variant>

#include "Core/Common/time.h"
#include "Core/Diagnosis/configuration_adopted.h"
#include "Core/Diagnosis/peer_message.h"
#include "Core/Diagnosis/queue_delay.h"
#include "Core/Diagnosis/refusal.h"
#include "Core/Diagnosis/refused_connection.h"
#include "Core/Diagnosis/short_deadline.h"
#include "Core/Diagnosis/silent_connection.h"
#include "Core/Diagnosis/store_sample.h"
#include "Core/Diagnosis/task_timeline.h"
#include "Core/Diagnosis/worker_contact.h"
#include "Core/Diagnosis/worker_restarted.h"
#include "Core/Diagnosis/worker_results.h"
#include "Core/Diagnosis/zone_probe.h"

namespace daisyroad {

using ObservationDetail = std::variant<PeerMessage,
                                       QueueDelay,
                                       Refusal,
                                       RefusedConnection,
                                       ShortDeadline,
                                       SilentConnection,
                                       StoreSample,
                                       TaskTimeline,
                                       ConfigurationAdopted,
                                       WorkerContact,
                                       WorkerRestarted,
                                       WorkerResults,
                                       ZoneProbe>;

// `at` uses the clock of the instance that evaluates the observation. For an
// observation received from a peer, it is computed from the transmitted age.
struct Observation {
  MonotonicTime at;
  ObservationDetail detail;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_DIAGNOSIS_OBSERVATION_H_
