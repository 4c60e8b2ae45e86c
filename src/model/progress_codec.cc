#include "model/progress_codec.h"

#include <stdexcept>

#include "base/varint.h"
#include "model/job_spec.h"

namespace monsoonmux::cell {
namespace {

// Header byte of an entry: the phase of the task, and which fields follow.
constexpr unsigned phase_mask = 3;
constexpr unsigned failures_follow = 4;
constexpr unsigned checkpoint_follows = 8;
constexpr unsigned run_follows = 16;     // The run number follows; it is left out if it is 1.
constexpr unsigned repeats_follow = 32;  // The entry describes further tasks; their number follows.
constexpr unsigned runner_follows = 64;
constexpr unsigned crashes_follow = 128;

bool has_runner(const task_progress& t) {
  return !t.runner.empty() || t.runner_incarnation != 0;
}

// True if the entry of `t` can describe `next`, too: the tasks differ only by `distance` in
// their index, and have no runner and no checkpoint.
bool shares_entry(const task_progress& t, const task_progress& next, std::int32_t distance) {
  return next.step == t.step && next.index == t.index + distance && next.phase == t.phase &&
         next.run == t.run && next.failures == t.failures && next.crashes == t.crashes &&
         next.checkpoint.empty() && t.checkpoint.empty() && !has_runner(next) && !has_runner(t);
}

unsigned header_of(const task_progress& t, bool repeated) {
  return static_cast<unsigned>(t.phase) | (t.failures != 0 ? failures_follow : 0) |
         (!t.checkpoint.empty() ? checkpoint_follows : 0) | (t.run != 1 ? run_follows : 0) |
         (repeated ? repeats_follow : 0) | (has_runner(t) ? runner_follows : 0) |
         (t.crashes != 0 ? crashes_follow : 0);
}

}  // namespace

std::string pack(const std::vector<task_progress>& tasks) {
  std::string out;
  std::int64_t previous_incarnation = 0;
  for (std::size_t i = 0; i < tasks.size();) {
    const task_progress& t = tasks[i];
    std::int32_t group_size = 1;
    while (i + static_cast<std::size_t>(group_size) < tasks.size() &&
           shares_entry(t, tasks[i + static_cast<std::size_t>(group_size)], group_size)) {
      ++group_size;
    }
    out.push_back(static_cast<char>(header_of(t, group_size > 1)));
    put_number(out, static_cast<std::uint32_t>(t.step));
    put_number(out, static_cast<std::uint32_t>(t.index));
    if (t.run != 1) {
      put_number(out, static_cast<std::uint32_t>(t.run));
    }
    if (t.failures != 0) {
      put_number(out, static_cast<std::uint32_t>(t.failures));
    }
    if (has_runner(t)) {
      put_text(out, t.runner);
      put_signed(out, t.runner_incarnation - previous_incarnation);
      previous_incarnation = t.runner_incarnation;
    }
    if (!t.checkpoint.empty()) {
      put_text(out, t.checkpoint);
    }
    if (t.crashes != 0) {
      put_number(out, static_cast<std::uint32_t>(t.crashes));
    }
    if (group_size > 1) {
      put_number(out, static_cast<std::uint32_t>(group_size - 1));
    }
    i += static_cast<std::size_t>(group_size);
  }
  return out;
}

std::vector<task_progress> unpack(const std::string& bytes) {
  std::vector<task_progress> out;
  std::int64_t previous_incarnation = 0;
  byte_reader in(bytes);
  while (!in.at_end()) {
    const unsigned header = in.byte();
    task_progress t;
    if ((header & phase_mask) > static_cast<unsigned>(task_phase::done)) {
      throw std::runtime_error("invalid phase");
    }
    t.phase = static_cast<task_phase>(header & phase_mask);
    t.step = in.count();
    t.index = in.count();
    t.run = (header & run_follows) != 0 ? in.count() : 1;
    t.failures = (header & failures_follow) != 0 ? in.count() : 0;
    if ((header & runner_follows) != 0) {
      t.runner = in.text();
      t.runner_incarnation = previous_incarnation + in.signed_number();
      previous_incarnation = t.runner_incarnation;
    }
    if ((header & checkpoint_follows) != 0) {
      t.checkpoint = in.text();
    }
    t.crashes = (header & crashes_follow) != 0 ? in.count() : 0;
    const std::int32_t more = (header & repeats_follow) != 0 ? in.count() : 0;
    if (more > max_tasks_per_job || t.index > INT32_MAX - more) {
      throw std::runtime_error("an entry describes more tasks than a job may have");
    }
    out.push_back(t);
    for (std::int32_t i = 0; i < more; ++i) {
      ++t.index;
      out.push_back(t);
    }
  }
  return out;
}

}  // namespace monsoonmux::cell
