#pragma once

#include <nlohmann/json.hpp>

#include "control/domain_placer.h"
#include "http/http_message.h"
#include "member/membership.h"
#include "state/config_view.h"
#include "state/job.h"

namespace monsoonmux {

// The JSON representations that docs/API.md defines.
nlohmann::ordered_json job_json(const job& value);
nlohmann::ordered_json member_json(const member& value, instant now);
nlohmann::ordered_json placer_json(const placer_status& value);
nlohmann::ordered_json worker_json(const worker_view& value);
nlohmann::ordered_json change_json(const config_change& value);
nlohmann::ordered_json resources_json(const resources& value);

// A response with status 200 and the body.
http_response ok_response(const nlohmann::ordered_json& body);
// An error response: the status that corresponds to the failure's code, the verdict in
// the header X-Monsoonmux-Verdict, and a JSON body with verdict, error and detail.
http_response error_response(const failure& f);

}  // namespace monsoonmux
