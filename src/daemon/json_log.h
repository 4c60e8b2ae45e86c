#pragma once

#include <string>

namespace monsoonmux {

// Makes glog write JSON lines to standard error and no files. Call once, first.
void start_json_log(const char* program);

// Writes a line that is a JSON object already.
void log_event(const std::string& json_object);

}  // namespace monsoonmux
