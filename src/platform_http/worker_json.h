#pragma once

#include <nlohmann/json.hpp>

#include "platform/worker_port.h"

namespace monsoonmux {

// JSON encoding of the messages to and from workers. The read functions throw
// nlohmann::json exceptions if a member is missing or has the wrong type.
nlohmann::json to_json(const resources& value);
resources read_resources(const nlohmann::json& value);
nlohmann::json to_json(const placement_lease_request& value);
placement_lease_request read_placement_lease_request(const nlohmann::json& value);
nlohmann::json to_json(const placement_lease_answer& value);
placement_lease_answer read_placement_lease_answer(const nlohmann::json& value);
nlohmann::json to_json(const sync_request& value);
sync_request read_sync_request(const nlohmann::json& value);
nlohmann::json to_json(const worker_report& value);
worker_report read_worker_report(const nlohmann::json& value);
nlohmann::json to_json(const start_request& value);
start_request read_start_request(const nlohmann::json& value);
nlohmann::json to_json(const stop_request& value);
stop_request read_stop_request(const nlohmann::json& value);

std::string_view to_string(report_phase phase);

}  // namespace monsoonmux
