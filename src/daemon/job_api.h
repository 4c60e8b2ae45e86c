#pragma once

#include "daemon/caller_identity.h"

namespace monsoonmux {

// Handles requests about jobs: /v1/jobs and the paths below it; see docs/API.md.
class job_api {
 public:
  explicit job_api(node_core& core) : core(core) {}

  void handle(const http_request& request, const http_respond& respond);
  // Answers the wait requests whose job has finished or whose deadline has passed.
  // Called by the HTTP front end every 10 ms.
  void answer_due_waits();
  std::int64_t open_waits() const;

 private:
  struct wait {
    job_id id;
    instant deadline;
    http_respond respond;
  };

  void submit(const http_request& request, const http_respond& respond);
  void append(const job& value, const http_respond& respond);
  void list(const caller_identity& caller, const http_request& request,
            const http_respond& respond) const;
  void show(const caller_identity& caller, const job_id& id, const http_respond& respond) const;
  void cancel(const caller_identity& caller, const job_id& id, const http_respond& respond);
  void begin_wait(const caller_identity& caller, const job_id& id, const http_request& request,
                  const http_respond& respond);
  result<job> find(const caller_identity& caller, const job_id& id) const;

  node_core& core;
  mutable std::mutex lock;
  std::vector<wait> waits;
};

}  // namespace monsoonmux
