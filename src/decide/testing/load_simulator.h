#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/placer.h"
#include "decide/testing/cell_builder.h"

namespace monsoonmux::cell {

// One job of a simulated load.
struct simulated_job {
  std::string id;
  std::string queue;
  millis at;        // Arrival, since the start of the load.
  millis run_time;  // Of each of its tasks, wherever it runs.
  job_spec spec;
  // Runners that the advice service permits; empty: the queue needs no advice.
  std::vector<std::string> permitted;
};

// The daemons that query the advice service, each one query at a time.
struct simulated_advice {
  // 0: each step has tickets for all permitted runners, which never expire.
  std::size_t daemons = 0;
  millis long_query_time{150};
  double short_query_share = 0.25;  // Of the daemons, kept free for short queries.
  // Interval between planning rounds: long on a host with little processor time.
  millis round_interval{10};
};

// The results of the jobs of one queue.
struct simulated_result {
  int jobs = 0;
  int in_time = 0;  // Completed within their objective.
  int completed = 0;

  double in_time_share() const {
    return this->jobs > 0 ? static_cast<double>(this->in_time) / this->jobs : 1;
  }
};

// Simulates a load with the placer on a simulated clock: jobs arrive, placed tasks run for
// their run time, and stopped ones keep their progress if their step checkpoints.
class load_simulator {
 public:
  explicit load_simulator(cell_builder& given, const placer_options& options = {},
                          const simulated_advice& advice_model = {})
      : cell(given), planner(given.state, options), advice(advice_model), began(given.now) {
    this->free_daemons = advice_model.daemons;
    given.state.advising_daemons = std::max<std::size_t>(advice_model.daemons, 1);
  }

  // Simulates `load` (in order of arrival) for `length`.
  std::map<std::string, simulated_result> simulate(const std::vector<simulated_job>& load,
                                                   millis length) {
    std::size_t next = 0;
    while (this->cell.now - this->began < length) {
      for (; next < load.size() && this->began + load[next].at <= this->cell.now; ++next) {
        this->arrive(load[next]);
      }
      this->end_runs();
      this->answer_queries();
      if (this->cell.now - this->last_round >= this->advice.round_interval) {
        this->last_round = this->cell.now;
        this->plan_round();
      }
      this->cell.now = this->cell.now + tick;
    }
    return this->results;
  }
  // The time spent on all advice queries, and the time that one query about 30 runners for
  // each started step would take.
  double advice_spent_ms() const { return this->spent_ms; }
  double advice_needed_ms() const { return this->needed_ms; }
  // Used accelerator time: the sum over all accelerators of their busy milliseconds.
  std::int64_t accelerator_ms() const { return this->used_accelerator_ms; }

 private:
  static constexpr millis tick{10};
  static constexpr millis stop_time{400};

  struct simulated_run {
    placement start;
    instant ends;
    instant began;
    bool stopping = false;
  };
  struct pending_query {
    advice_query query;
    instant answered;
  };
  struct job_state {
    const simulated_job* job = nullptr;
    std::map<task_ref, millis> progress;
  };

  void arrive(const simulated_job& job) {
    this->cell.add_job(job.id, job.spec, "t", job.queue);
    this->jobs[job.id] = {&job, {}};
    if (!job.permitted.empty() && this->advice.daemons == 0) {
      this->permit(job);
    }
    ++this->results[job.queue].jobs;
  }

  // Grants tickets as if a query had named all runners, without expiry.
  void permit(const simulated_job& job) {
    std::vector<std::string> asked;
    for (const auto& [id, runner] : this->cell.state.runners.all()) {
      asked.push_back(id);
    }
    std::vector<ticket> tickets;
    for (const std::string& runner : job.permitted) {
      tickets.push_back({runner, "ticket"});
    }
    for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
      this->cell.state.advice.answer({job_id(job.id), 0, static_cast<std::int32_t>(s)}, asked,
                                     tickets, never);
    }
  }

  void send_query(const advice_query& query) {
    const double query_ms = query.terms.per_call_ms +
                            query.terms.per_runner_ms * static_cast<double>(query.runners.size());
    const bool is_long = query_ms > static_cast<double>(this->advice.long_query_time.value);
    const double kept_for_short =
        this->advice.short_query_share * static_cast<double>(this->advice.daemons);
    const double free = static_cast<double>(this->free_daemons);
    if (free < 1 || (is_long && free <= kept_for_short)) {
      return;
    }
    --this->free_daemons;
    this->spent_ms += query_ms;
    this->cell.state.advice.entry_for(query.step).query_pending = true;
    this->pending_queries.push_back(
        {query, this->cell.now + millis{static_cast<std::int64_t>(query_ms)}});
  }

  void answer_queries() {
    std::vector<pending_query> left;
    for (const pending_query& q : this->pending_queries) {
      if (q.answered > this->cell.now) {
        left.push_back(q);
        continue;
      }
      ++this->free_daemons;
      const auto job = this->cell.state.jobs.find(q.query.step.job);
      if (job != this->cell.state.jobs.end() && !is_final(job->second.phase())) {
        this->answer(q.query, job->second.submission().queue);
      }
    }
    this->pending_queries = std::move(left);
  }

  void answer(const advice_query& query, const queue_id& queue) {
    const auto& good = this->jobs.at(query.step.job.text).job->permitted;
    std::vector<ticket> tickets;
    for (const std::string& runner : query.runners) {
      if (std::binary_search(good.begin(), good.end(), runner)) {
        tickets.push_back({runner, "ticket"});
      }
    }
    constexpr millis delivery_time{120};
    this->cell.state.advice.answer(queue, query.step, query.runners, tickets,
                                   this->cell.now + query.terms.ticket_lifetime - delivery_time);
  }

  void plan_round() {
    const plan decided = this->planner.decide(this->cell.now, this->cell.now.value);
    for (const advice_query& query :
         this->advice.daemons > 0 ? decided.advice_queries : std::vector<advice_query>()) {
      this->send_query(query);
    }
    for (const preemption& p : decided.preemptions) {
      for (simulated_run& run : this->runs) {
        if (run.start.task == p.run.task && run.start.run == p.run.run && !run.stopping) {
          run.stopping = run.ends > this->cell.now + stop_time;
          run.ends = std::min(run.ends, this->cell.now + stop_time);
        }
      }
    }
    for (const placement& p : decided.placements) {
      job_state& state = this->jobs.at(p.task.in.job.text);
      const queue_config& queue = *this->cell.state.config.find_queue(queue_id(state.job->queue));
      if (queue.advice && this->started_steps.insert(p.task.in).second) {
        constexpr double usual_runners = 30;
        this->needed_ms += queue.advice->per_call_ms + queue.advice->per_runner_ms * usual_runners;
      }
      const millis left = state.job->run_time - state.progress[p.task];
      this->runs.push_back({p, this->cell.now + left, this->cell.now});
    }
  }

  void end_runs() {
    for (const simulated_run& run : this->runs) {
      const live_job& job = this->cell.state.jobs.at(run.start.task.in.job);
      const auto step = static_cast<std::size_t>(run.start.task.in.step);
      this->used_accelerator_ms += job.spec().steps[step].need.accelerators.value * tick.value;
    }
    std::vector<simulated_run> left;
    std::vector<simulated_run> completed;
    for (const simulated_run& run : this->runs) {
      (run.ends <= this->cell.now ? completed : left).push_back(run);
    }
    this->runs = std::move(left);
    for (const simulated_run& run : completed) {
      this->end(run);
    }
  }

  void end(const simulated_run& run) {
    const task_ref& task = run.start.task;
    live_job& job = this->cell.state.jobs.at(task.in.job);
    const step_spec& shape = job.spec().steps[static_cast<std::size_t>(task.in.step)];
    this->cell.state.runners.remove(run.start.runner, {task, run.start.run});
    this->cell.state.teams.remove(job.submission().team, shape.need);
    if (run.stopping && shape.checkpoints) {
      this->jobs.at(task.in.job.text).progress[task] += run.ends - run.began;
    }
    if (!run.stopping) {
      this->cell.state.run_times.add_sample(job.submission().queue, run.start.runner,
                                            shape.estimate, this->cell.now - run.began);
    }
    const end_effect effect = job.finish(
        task, run.start.run, run.stopping ? run_outcome::stopped : run_outcome::done, {});
    if (effect.job_final) {
      this->close(job);
    }
  }

  void close(const live_job& job) {
    const queue_config& queue = *this->cell.state.config.find_queue(job.submission().queue);
    const simulated_job& submitted = *this->jobs.at(job.submission().job.text).job;
    const auto steps = static_cast<double>(submitted.spec.steps.size());
    const double objective = queue.stretch * steps * static_cast<double>(submitted.run_time.value) +
                             static_cast<double>(queue.target_latency.value);
    const auto taken = static_cast<double>((this->cell.now - this->began - submitted.at).value);
    simulated_result& result = this->results[submitted.queue];
    ++result.completed;
    result.in_time += taken <= objective ? 1 : 0;
  }

  cell_builder& cell;
  placer planner;
  const simulated_advice advice;
  const instant began;
  instant last_round{0};
  std::size_t free_daemons = 0;
  std::vector<pending_query> pending_queries;
  std::set<step_ref> started_steps;
  double spent_ms = 0;
  double needed_ms = 0;
  std::map<std::string, job_state> jobs;
  std::vector<simulated_run> runs;
  std::map<std::string, simulated_result> results;
  std::int64_t used_accelerator_ms = 0;
};

}  // namespace monsoonmux::cell
