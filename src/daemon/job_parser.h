#pragma once

#include "base/failure.h"
#include "http/http_message.h"
#include "state/job.h"

namespace monsoonmux {

// Reads a job from the body of POST /v1/jobs. The id, team and pool are left
// empty. Unknown members, wrong types and values out of range are refused with
// the member's name and what is accepted.
result<job_spec> parse_job(const http_request& request);

// The job id that an idempotency key stands for, the same on every daemon.
job_id job_id_of(const team_id& team, const std::string& idempotency_key);

}  // namespace monsoonmux
