#pragma once

#include <string>

namespace monsoonmux {

// Configures glog to write JSON lines to standard error and no log files. Call this
// once, before any other logging.
void start_json_log(const char* program);

// Writes one line to standard error; the text must already be a JSON object.
void log_event(const std::string& json_object);

}  // namespace monsoonmux
