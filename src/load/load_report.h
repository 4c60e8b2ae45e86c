#pragma once

#include <string>
#include <vector>

#include "base/failure.h"

namespace monsoonmux {

// The outcome of the calls of one stream. Latencies are measured from when a call was
// due, not from when it was sent, so that stalls of the cell show (no coordinated
// omission).
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
  double per_second = 0;      // Answered calls per second.
  std::vector<double> curve;  // Latencies in ms at the percentiles 0, 1, .. 100.
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
// Returns a self-contained page with the latency curves as SVG. Several reports are
// drawn on the same scale, for comparison.
std::string to_html(const std::vector<load_report>& reports);

}  // namespace monsoonmux
