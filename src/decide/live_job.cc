// The members of a gang share one run number. A member whose run ended is waiting, but
// the gang starts again only when no member is placed any more, so two runs of one member
// never overlap. If one member is done, all are; a failed run of the gang counts once,
// however many members report it: each counts its own failures, and begins a run with the highest
// count of all. So of failures nothing but the counts has to be known to a successor.

#include "decide/live_job.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace monsoonmux::cell {

std::string_view to_string(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::done:
      return "done";
    case run_outcome::failed:
      return "failed";
    case run_outcome::stopped:
      return "stopped";
    case run_outcome::lapsed:
      return "lapsed";
    case run_outcome::broken:
      return "broken";
    case run_outcome::alone:
      return "alone";
    case run_outcome::lost:
      return "lost";
    case run_outcome::crashed:
      return "crashed";
  }
  return "unknown";
}

std::optional<task_ref> parse_task_ref(const std::string& text) {
  task_ref out;
  const std::size_t first = text.find('.');
  if (first == std::string::npos || first == 0) {
    return std::nullopt;
  }
  out.in.job = job_id(text.substr(0, first));
  const char* at = text.data() + first;
  const char* const end = text.data() + text.size();
  for (std::int32_t* number : {&out.in.occurrence, &out.in.step, &out.index}) {
    if (at == end || *at != '.') {
      return std::nullopt;
    }
    const auto [next, error] = std::from_chars(at + 1, end, *number);
    if (error != std::errc{} || *number < 0) {
      return std::nullopt;
    }
    at = next;
  }
  return at == end ? std::optional(out) : std::nullopt;
}

bool live_occurrence::complete() const {
  return std::all_of(this->steps.begin(), this->steps.end(),
                     [](const live_step& step) { return step.complete(); });
}

live_job::live_job(job_submission submission, const std::optional<job_progress>& progress,
                   std::int32_t attempts, instant now, instant accepted_at)
    : accepted(std::move(submission)), max_attempts(attempts), accepted_time(accepted_at) {
  if (!progress) {
    return;
  }
  this->state = progress->phase;
  this->ever_started = progress->ever_started;
  this->first_unfinished = progress->first_unfinished;
  this->next_occurrence = progress->first_unfinished;
  for (const occurrence_progress& saved : progress->occurrences) {
    live_occurrence occurrence = this->new_occurrence();
    for (const task_progress& t : saved.tasks) {
      const auto step = static_cast<std::size_t>(t.step);
      const auto index = static_cast<std::size_t>(t.index);
      if (step >= occurrence.steps.size() || index >= occurrence.steps[step].tasks.size()) {
        continue;  // The spec has no such task. Such a record is never written.
      }
      live_task& task = occurrence.steps[step].tasks[index];
      task.phase = t.phase;
      task.run = t.run;
      task.failures = t.failures;
      task.crashes = t.crashes;
      task.runner = t.runner;
      task.runner_incarnation = t.runner_incarnation;
      task.checkpoint = t.checkpoint;
      task.placed_at = now;
      task.inherited = t.phase == task_phase::placed;
      task.suspected = t.phase == task_phase::waiting && !t.runner.empty();
      task.waits_since = t.phase == task_phase::waiting && t.run > 0 ? now : never;
      if (t.phase == task_phase::done) {
        ++occurrence.steps[step].done;
      }
    }
    this->next_occurrence = std::max(this->next_occurrence, saved.number + 1);
    this->open_occurrences.emplace(saved.number, std::move(occurrence));
  }
  this->restore_gang_crashes(progress->gang_crashes);
  this->restore_lasted_runs(progress->lasted);
}

live_occurrence live_job::new_occurrence() const {
  live_occurrence occurrence;
  occurrence.steps.resize(this->spec().steps.size());
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    occurrence.steps[i].tasks.resize(static_cast<std::size_t>(this->spec().steps[i].count));
  }
  return occurrence;
}

bool live_job::open_due(std::int64_t wall_ms) {
  bool opened = false;
  while (this->next_occurrence < this->spec().occurrences() &&
         this->spec().due_ms(this->next_occurrence) <= wall_ms) {
    this->open_occurrences.emplace(this->next_occurrence, this->new_occurrence());
    ++this->next_occurrence;
    opened = true;
  }
  return opened;
}

std::int64_t live_job::next_due_ms() const {
  return this->next_occurrence < this->spec().occurrences()
             ? this->spec().due_ms(this->next_occurrence)
             : 0;
}

bool live_job::step_ready(const live_occurrence& occurrence, std::int32_t step) const {
  const auto& needed = this->spec().steps[static_cast<std::size_t>(step)].depends_on;
  return std::all_of(needed.begin(), needed.end(), [&occurrence](std::int32_t earlier) {
    return occurrence.steps[static_cast<std::size_t>(earlier)].complete();
  });
}

live_task* live_job::find(const task_ref& task) {
  return const_cast<live_task*>(std::as_const(*this).find(task));
}

const live_task* live_job::find(const task_ref& task) const {
  const auto it = this->open_occurrences.find(task.in.occurrence);
  const auto step = static_cast<std::size_t>(task.in.step);
  if (it == this->open_occurrences.end() || step >= it->second.steps.size()) {
    return nullptr;
  }
  const auto& tasks = it->second.steps[step].tasks;
  const auto index = static_cast<std::size_t>(task.index);
  return index < tasks.size() ? &tasks[index] : nullptr;
}

std::vector<task_ref> live_job::interrupted_tasks() const {
  std::vector<task_ref> out;
  if (is_final(this->state)) {
    return out;
  }
  for (const auto& [number, occurrence] : this->open_occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const auto& tasks = occurrence.steps[s].tasks;
      for (std::size_t t = 0; t < tasks.size() && this->spec().steps[s].long_running; ++t) {
        if (tasks[t].phase == task_phase::waiting && tasks[t].waits_since != never) {
          out.push_back({{this->submission().job, number, static_cast<std::int32_t>(s)},
                         static_cast<std::int32_t>(t)});
        }
      }
    }
  }
  return out;
}

void live_job::place(const task_ref& task, std::int32_t run, const std::string& runner,
                     std::int64_t runner_incarnation, instant now) {
  live_task& t = *this->find(task);
  t.phase = task_phase::placed;
  t.run = run;
  t.runner = runner;
  t.runner_incarnation = runner_incarnation;
  t.placed_at = now;
  t.inherited = false;
  t.lasted = false;
  t.alone = false;
  t.acquitted = false;
  t.suspected = false;
  t.held = false;
  t.failures = this->failures_of(task);
  t.resumed = !this->checkpoint_of(task).empty();
  if (this->state == job_phase::queued) {
    this->state = job_phase::running;
  }
}

std::int32_t live_job::next_run(const task_ref& task) {
  const live_step& step =
      this->open_occurrences.at(task.in.occurrence).steps[static_cast<std::size_t>(task.in.step)];
  if (!this->spec().steps[static_cast<std::size_t>(task.in.step)].gang) {
    return step.tasks[static_cast<std::size_t>(task.index)].run + 1;
  }
  std::int32_t highest = 0;
  for (const live_task& member : step.tasks) {
    highest = std::max(highest, member.run);
  }
  return highest + 1;
}

std::int32_t live_job::failures_of(const task_ref& task) const {
  const live_step& step =
      this->open_occurrences.at(task.in.occurrence).steps[static_cast<std::size_t>(task.in.step)];
  if (!this->spec().steps[static_cast<std::size_t>(task.in.step)].gang) {
    return step.tasks[static_cast<std::size_t>(task.index)].failures;
  }
  std::int32_t highest = 0;
  for (const live_task& member : step.tasks) {
    highest = std::max(highest, member.failures);
  }
  return highest;
}

bool live_job::out_of_attempts(const step_spec& shape, const live_task& task) const {
  return !shape.long_running && task.failures >= this->max_attempts;
}

bool live_job::would_fail(const task_ref& task, std::int32_t run) const {
  const live_task* const t = this->find(task);
  if (t == nullptr || t->phase != task_phase::placed || t->run != run || is_final(this->state)) {
    return false;
  }
  const step_spec& shape = this->spec().steps[static_cast<std::size_t>(task.in.step)];
  return !shape.long_running && t->failures + 1 >= this->max_attempts;
}

bool live_job::set_attempts(std::int32_t attempts) {
  this->max_attempts = attempts;
  if (is_final(this->state)) {
    return false;
  }
  for (const auto& [number, occurrence] : this->open_occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const auto& tasks = occurrence.steps[s].tasks;
      const bool exhausted = std::any_of(tasks.begin(), tasks.end(), [&](const live_task& task) {
        return task.phase == task_phase::waiting &&
               this->out_of_attempts(this->spec().steps[s], task);
      });
      if (exhausted) {
        this->state = job_phase::failed;
        return true;
      }
    }
  }
  return false;
}

void live_job::mark_done(live_step& step, live_task& task) {
  if (task.phase != task_phase::done) {
    task.phase = task_phase::done;
    task.checkpoint.clear();
    ++step.done;
  }
}

end_effect live_job::finish(const task_ref& task, std::int32_t run, run_outcome outcome,
                            const std::string& checkpoint) {
  end_effect effect;
  live_task* const t = this->find(task);
  if (t == nullptr) {
    return effect;
  }
  live_step& step =
      this->open_occurrences.at(task.in.occurrence).steps[static_cast<std::size_t>(task.in.step)];
  const step_spec& shape = this->spec().steps[static_cast<std::size_t>(task.in.step)];
  const bool current = t->phase == task_phase::placed && t->run == run;
  if (!current && !this->is_late_done(*t, shape, run, outcome)) {
    return effect;
  }
  effect.counted = true;
  if (outcome == run_outcome::done) {
    effect.superseded = superseded_by(task, run, step, shape);
  }
  // A lost run may never have started on its runner.
  const bool concluded = outcome == run_outcome::lost || outcome == run_outcome::crashed;
  this->ever_started = this->ever_started || !concluded;
  if (!checkpoint.empty()) {
    t->checkpoint = checkpoint;
  }
  if (outcome == run_outcome::done && !shape.long_running) {
    this->finish_done(step, shape, *t);
  } else {
    t->phase = task_phase::waiting;
    t->acquitted = false;
  }
  if (outcome == run_outcome::failed) {
    count_failure(*t);
  }
  if (outcome == run_outcome::crashed) {
    count_crash(step, shape, *t, run);
    this->apply_crash_bound(*t, t->alone, effect);
  }
  effect.step_done = step.complete();
  if (outcome == run_outcome::failed && this->out_of_attempts(shape, *t) &&
      !is_final(this->state)) {
    this->state = job_phase::failed;
    effect.job_final = true;
  }
  this->close_complete_occurrences();
  if (!is_final(this->state) && this->open_occurrences.empty() &&
      this->next_occurrence >= this->spec().occurrences()) {
    this->state = job_phase::completed;
    effect.job_final = true;
  }
  return effect;
}

// A run that was given up, because it seemed to be over, is done after all.
bool live_job::is_late_done(const live_task& t, const step_spec& shape, std::int32_t run,
                            run_outcome outcome) const {
  return outcome == run_outcome::done && !shape.long_running && !is_final(this->state) &&
         t.phase != task_phase::done && run <= t.run;
}

std::vector<superseded_run> live_job::superseded_by(const task_ref& task, std::int32_t run,
                                                    const live_step& step, const step_spec& shape) {
  // Of a gang all members are concerned, otherwise only the task itself.
  const std::int32_t first = shape.gang ? 0 : task.index;
  const std::int32_t last =
      shape.gang ? static_cast<std::int32_t>(step.tasks.size()) : task.index + 1;
  std::vector<superseded_run> out;
  for (std::int32_t index = first; index < last; ++index) {
    const live_task& member = step.tasks[static_cast<std::size_t>(index)];
    if (member.phase == task_phase::placed && member.run > run) {
      out.push_back({member.runner, {task.in, index}, member.run});
    }
  }
  return out;
}

void live_job::finish_done(live_step& step, const step_spec& shape, live_task& task) {
  if (!shape.gang) {
    this->mark_done(step, task);
    return;
  }
  for (live_task& member : step.tasks) {
    this->mark_done(step, member);
  }
}

void live_job::count_failure(live_task& task) {
  task.last_failed_on = task.runner;
  task.failed_runs.push_back({task.run, task.runner});
  ++task.failures;
}

std::string live_job::checkpoint_of(const task_ref& task) const {
  const live_step& step =
      this->open_occurrences.at(task.in.occurrence).steps[static_cast<std::size_t>(task.in.step)];
  const live_task& own = step.tasks[static_cast<std::size_t>(task.index)];
  if (!this->spec().steps[static_cast<std::size_t>(task.in.step)].gang) {
    return own.checkpoint;
  }
  // All members must start from the same checkpoint, and that of any member is valid.
  std::string latest;
  for (const live_task& member : step.tasks) {
    if (!member.checkpoint.empty()) {
      latest = std::max(latest, member.checkpoint);
    }
  }
  return latest;
}

void live_job::close_complete_occurrences() {
  while (!this->open_occurrences.empty() &&
         this->open_occurrences.begin()->first == this->first_unfinished &&
         this->open_occurrences.begin()->second.complete()) {
    this->open_occurrences.erase(this->open_occurrences.begin());
    ++this->first_unfinished;
  }
}

void live_job::cancel() {
  if (!is_final(this->state)) {
    this->state = job_phase::cancelled;
  }
}

bool live_job::has_placed_tasks() const {
  for (const auto& [number, occurrence] : this->open_occurrences) {
    for (const live_step& step : occurrence.steps) {
      for (const live_task& task : step.tasks) {
        if (task.phase == task_phase::placed) {
          return true;
        }
      }
    }
  }
  return false;
}

job_progress live_job::progress(epoch leader_epoch) const {
  job_progress out;
  out.leader_epoch = leader_epoch;
  out.phase = this->state;
  out.ever_started = this->ever_started || this->has_placed_tasks();
  out.first_unfinished = this->first_unfinished;
  out.max_attempts = this->max_attempts;
  out.gang_crashes = this->counted_gang_crashes();
  out.lasted = this->all_lasted_runs();
  for (const auto& [number, occurrence] : this->open_occurrences) {
    occurrence_progress saved;
    saved.number = number;
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const auto& tasks = occurrence.steps[s].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        const live_task& t = tasks[i];
        if (t.phase == task_phase::waiting && t.run == 0) {
          continue;
        }
        const bool has_runner = t.phase == task_phase::placed || t.suspected;
        saved.tasks.push_back({static_cast<std::int32_t>(s), static_cast<std::int32_t>(i), t.phase,
                               t.run, t.failures, has_runner ? t.runner : std::string(),
                               has_runner ? t.runner_incarnation : 0, t.checkpoint, t.crashes});
      }
    }
    out.occurrences.push_back(std::move(saved));
  }
  return out;
}

}  // namespace monsoonmux::cell
