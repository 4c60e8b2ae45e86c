#pragma once

#include <memory>
#include <string>

#include "place/scheduler.h"

namespace monsoonmux {

constexpr millis second{1'000};

inline resources cores(std::int64_t n, std::int64_t gpus = 0) {
  return {{n * 1'000}, {n * 1'024}, {gpus}};
}

inline resources unlimited() {
  return {{INT64_MAX / 4}, {INT64_MAX / 4}, {INT64_MAX / 4}};
}

// Options of a unit. `tasks` > 1 is valid only for gangs.
struct unit_options {
  std::string job;
  std::string team = "a";
  work_kind kind = work_kind::batch;
  urgency priority = urgency::normal;
  resources per_task = cores(1);
  int tasks = 1;
  millis declared{60'000};
  instant since;
};

inline std::shared_ptr<pending_unit> make_unit(const unit_options& o) {
  auto unit = std::make_shared<pending_unit>();
  unit->job = job_id(o.job);
  unit->team = team_id(o.team);
  unit->pool = pool_id("p");
  unit->kind = o.kind;
  unit->priority = o.priority;
  unit->per_task = o.per_task;
  unit->declared_runtime = o.declared;
  unit->since = o.since;
  for (int i = 0; i < o.tasks; ++i) {
    unit->tasks.push_back(i);
  }
  return unit;
}

inline void add_workers(scheduler& s, int count, const resources& total, int per_rack = 5) {
  for (int i = 0; i < count; ++i) {
    s.add_worker({worker_id("w" + std::to_string(i)), pool_id("p"),
                  rack_id("r" + std::to_string(i / per_rack)), total});
  }
}

}  // namespace monsoonmux
