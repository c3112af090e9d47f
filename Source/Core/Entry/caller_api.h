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

// The HTTP interface of callers, see docs/api.md.
class CallerApi {
 public:
  CallerApi(EntryContext* context, ControlService* control, TaskService* tasks);

  // Serves /v1/tasks and below.
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
  // Team of the key; empty without a key.
  Result<TeamName> Authenticate(const HttpRequest& request) const;
  Status CheckAllowed(const TaskSubmission& submission,
                      const TaskQueue& queue) const;
  // Answers with the task if the team may see it.
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
