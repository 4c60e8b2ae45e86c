#include "daemon/json_log.h"

#include <glog/logging.h>

#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>

namespace monsoonmux {
namespace {

std::mutex output_lock;

void write_line(const std::string& line) {
  const std::lock_guard guard(output_lock);
  std::fwrite(line.data(), 1, line.size(), stderr);
  std::fputc('\n', stderr);
}

class json_sink final : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char*, const char* file, int line,
            const google::LogMessageTime& time, const char* message, std::size_t length) override {
    nlohmann::ordered_json out;
    out["wall_ms"] = static_cast<std::int64_t>(time.timestamp()) * 1'000 + time.usec() / 1'000;
    out["severity"] = google::GetLogSeverityName(severity);
    out["source"] = std::string(file) + ":" + std::to_string(line);
    out["message"] = std::string(message, length);
    write_line(out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
};

}  // namespace

void start_json_log(const char* program) {
  static json_sink sink;
  for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR}) {
    google::SetLogDestination(severity, "");
  }
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  google::InitGoogleLogging(program);
  google::AddLogSink(&sink);
}

void log_event(const std::string& json_object) {
  write_line(json_object);
}

}  // namespace monsoonmux
