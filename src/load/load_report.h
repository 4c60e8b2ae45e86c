#pragma once

#include <string>
#include <vector>

#include "base/failure.h"

namespace monsoonmux {

// What became of the calls of one stream. Latencies count from when a call was
// due, not from when it was sent, so a stalled cell cannot hide its stalls.
struct stream_report {
  std::string name;
  std::int64_t planned = 0;
  std::int64_t answered = 0;
  std::int64_t not_run = 0;
  std::int64_t may_have_run = 0;
  double p50_ms = 0;
  double p95_ms = 0;
  double p99_ms = 0;
  double max_ms = 0;
  double per_second = 0;      // Answered.
  std::vector<double> curve;  // Latencies at 0, 1, .. 100 percent.
};

struct load_report {
  std::string experiment;
  double seconds = 0;
  std::vector<stream_report> streams;
};

// Fills the percentiles from the latencies of answered calls.
void summarize(std::vector<double> latencies_ms, stream_report& into);

std::string to_json_text(const load_report& report);
result<load_report> read_report(const std::string& json_text);
// A page of its own with the latency curves as SVG. With two reports their
// curves stand side by side.
std::string to_html(const std::vector<load_report>& reports);

}  // namespace monsoonmux
