#ifndef SOURCE_CORE_ENTRY_CALLER_API_H_
#define SOURCE_CORE_ENTRY_CALLER_API_H_

#include <string>

#include "Core/Common/result.h"
#include "Core/Entry/task_record.h"
#include "Core/Keys/key_record.h"
#include "Core/Transport/http_message.h"

namespace daisyroad {

struct EntryContext;
struct TaskQueue;
class ControlService;
class TaskService;

// The HTTP API for callers, see docs/api.md.
class CallerApi {
 public:
  CallerApi(EntryContext* context, ControlService* control, TaskService* tasks);

  // Serves /v1/tasks and the paths below it.
  void Handle(const HttpRequest& request, const HttpResponder& respond);

 private:
  enum class AnswerKind { kLookup, kSubmission, kKeyedSubmission };

  void Submit(const HttpRequest& request, const HttpResponder& respond);
  void Lookup(const HttpRequest& request,
              const TaskId& id,
              const HttpResponder& respond);
  void Cancel(const HttpRequest& request,
              const TaskId& id,
              const HttpResponder& respond);
  Result<TaskSubmission> ReadSubmission(const HttpRequest& request) const;
  // Returns the team of the request's API key; an empty name without a key.
  Result<TeamName> Authenticate(const HttpRequest& request) const;
  Status CheckAllowed(const TaskSubmission& submission,
                      const TaskQueue& queue) const;
  // Responds with the task if it belongs to the team.
  void Answer(const TeamName& team,
              const Result<Json::Value>& task,
              AnswerKind kind,
              const HttpResponder& respond) const;

  EntryContext* context;
  ControlService* control;
  TaskService* tasks;
};

}  // namespace daisyroad

#endif  // SOURCE_CORE_ENTRY_CALLER_API_H_
