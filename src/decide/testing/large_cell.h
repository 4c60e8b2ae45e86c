#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "decide/placer.h"
#include "decide/testing/load_profile.h"

namespace monsoonmux::cell {

// A pool with the load of a large deployment of 792 runners, in two of its classes: short jobs with
// a target of 300 ms, and long ones.
inline load_profile large_profile(int runners, millis length) {
  const load_class post{"post", 0,  1.5,   millis{300}, 39.8,
                        1.5,    13, 8'400, millis{880}, {26, 0.38, millis{2'000}},
                        0.7};
  const load_class reconcile{"reconcile", 2,  4.0,   millis{3'000}, 4.07,
                             2,           36, 9'000, millis{4'500}, {140, 2.1, millis{2'000}},
                             0.45};
  return {
      {post, reconcile}, runners, {millicores{32'000}, mebibytes{131'072}, devices{0}}, length, {}};
}

// A large cell whose new leader finds what arrived in 6 s waiting, a third of the room in use, and
// no advice: what it looks like after all daemons were killed.
class large_cell : public cell_builder {
 public:
  explicit large_cell(int runners = 792) : large_cell(large_profile(runners, millis{6'000})) {}

  // The service answers the first queries of the plan, as many as it has daemons.
  void answer(const plan& decided) {
    std::size_t answered = 0;
    for (const advice_query& query : decided.advice_queries) {
      if (++answered > this->state.advising_daemons) {
        return;
      }
      const live_job& job = this->state.jobs.at(query.step.job);
      this->state.advice.answer(job.submission().queue, query.step, query.runners,
                                this->tickets_for(query), this->now + millis{1'880});
    }
  }

 private:
  explicit large_cell(const load_profile& profile) : cell_builder(cell_of(profile)) {
    this->state.advising_daemons = 100;
    this->add_running_work(profile.runners);
    for (simulated_job& job : jobs_of(profile, 1, 1)) {
      this->add_job(job.id, job.spec, "t", job.queue);
      this->permitted[job.id] = std::move(job.permitted);
    }
  }

  void add_running_work(int runners) {
    constexpr int runs_per_runner = 2;
    const step_spec shape =
        step(runners * runs_per_runner, {millicores{6'000}, mebibytes{17'000}, devices{0}});
    live_job& job = this->add_job("running", shape);
    for (int i = 0; i < shape.count; ++i) {
      const task_ref task{{job_id("running"), 0, 0}, i};
      const std::string runner = load_runner_name(i % runners);
      job.place(task, 1, runner, 0, this->now);
      this->state.runners.add(runner, make_allocation(this->state, job, task, 1, this->now));
    }
  }

  std::vector<ticket> tickets_for(const advice_query& query) const {
    const std::vector<std::string>& good = this->permitted.at(query.step.job.text);
    std::vector<ticket> out;
    for (const std::string& runner : query.runners) {
      if (std::binary_search(good.begin(), good.end(), runner)) {
        out.push_back({runner, "ticket"});
      }
    }
    return out;
  }

  std::map<std::string, std::vector<std::string>> permitted;  // By job.
};

}  // namespace monsoonmux::cell
