#pragma once

#include <string>
#include <vector>

#include "base/failure.h"
#include "base/quantity.h"

namespace monsoonmux {

enum class arrival_process { uniform, poisson };
enum class work_distribution { fixed, exponential, pareto };

// A stream of calls of one team.
struct call_stream {
  std::string name;
  std::string key;  // The team's key; empty for an open queue (no key needed).
  std::string queue;
  double per_second = 1;
  arrival_process arrival = arrival_process::poisson;
  work_distribution work = work_distribution::fixed;
  double work_ms = 0;  // Mean; passed to the runner in X-Work-Ms.
  std::string method = "GET";
  std::size_t body_bytes = 0;
  millis deadline{2'000};
  std::string direct;  // A runner's A.B.C.D:PORT; if set, calls bypass the daemons.
};

// A load experiment: open-loop streams against a cell.
//
// Read from YAML:
//
//   seed: 1
//   duration_ms: 10000
//   threads: 64
//   servers: [127.0.0.1:7001, 127.0.0.1:7002]
//   streams:
//     - name: boards
//       key: ...
//       queue: prices
//       per_second: 200
//       work: exponential
//       work_ms: 5
struct experiment {
  std::uint32_t seed = 1;
  millis duration{10'000};
  int threads = 64;
  std::vector<std::string> servers;
  std::vector<call_stream> streams;
};

// Unknown keys and values out of range are rejected; the error names the line.
result<experiment> parse_experiment(const std::string& yaml_text, const std::string& name);

}  // namespace monsoonmux
