#pragma once

#include "base/failure.h"
#include "http/http_message.h"
#include "state/job.h"

namespace monsoonmux {

// Parses a job from the body of POST /v1/jobs. The id, team and pool are left empty.
// Unknown members, wrong types and values out of range are rejected with an error that
// names the member and the accepted values.
result<job_spec> parse_job(const http_request& request);

// Derives the job id from the team and the idempotency key. Every daemon derives the
// same id, so a repeated submission yields the same job.
job_id job_id_of(const team_id& team, const std::string& idempotency_key);

}  // namespace monsoonmux
