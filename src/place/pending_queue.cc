#include "place/pending_queue.h"

#include <algorithm>

namespace monsoonmux {

pending_queue::shape pending_queue::shape_of(const pending_unit& unit) {
  shape out;
  out.normal = unit.priority == urgency::normal;
  out.pool = unit.pool;
  out.kind = unit.kind;
  out.cpu = unit.per_task.cpu.value;
  out.memory = unit.per_task.memory.value;
  out.accelerators = unit.per_task.accelerators.value;
  out.tasks = unit.tasks.size();
  if (!unit.avoid.empty()) {
    out.restricted = true;
    out.job = unit.job;
  }
  return out;
}

void pending_queue::push(std::shared_ptr<const pending_unit> unit) {
  this->total += unit->demand();
  ++this->count;
  unit_queue& queue = this->waiting[shape_of(*unit)];
  queue.push_back(std::move(unit));
}

void pending_queue::push_front(std::shared_ptr<const pending_unit> unit) {
  this->total += unit->demand();
  ++this->count;
  unit_queue& queue = this->waiting[shape_of(*unit)];
  queue.push_front(std::move(unit));
}

void pending_queue::pop(const shape& key) {
  const auto it = this->waiting.find(key);
  this->total -= it->second.front()->demand();
  --this->count;
  it->second.pop_front();
  if (it->second.empty()) {
    this->waiting.erase(it);
  }
}

void pending_queue::remove_job(const job_id& job) {
  for (auto it = this->waiting.begin(); it != this->waiting.end();) {
    unit_queue& units = it->second;
    for (const auto& unit : units) {
      if (unit->job == job) {
        this->total -= unit->demand();
        --this->count;
      }
    }
    std::erase_if(units, [&](const auto& unit) { return unit->job == job; });
    it = units.empty() ? this->waiting.erase(it) : std::next(it);
  }
}

}  // namespace monsoonmux
