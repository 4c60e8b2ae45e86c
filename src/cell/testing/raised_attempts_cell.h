#pragma once

#include <catch2/catch.hpp>
#include <string>

#include "cell/testing/fake_cell.h"

namespace monsoonmux::cell {

// A cell whose only queue has one attempt at first. The first run of its job fails.
struct raised_attempts_cell {
  static constexpr std::uint32_t seeds = 8;
  static constexpr const char* job = "a0";
  static constexpr std::int32_t few = 1;
  static constexpr std::int32_t many = 4;

  explicit raised_attempts_cell(std::uint32_t seed) : cell(3, 4, seed) {
    constexpr millis settle_time{4'000};
    constexpr millis phase{37};
    this->cell.loop.run_for(settle_time + phase * seed);
    REQUIRE(this->cell.leader() >= 0);
    this->publish_attempts(few);
    constexpr millis propagation{1'000};
    this->cell.loop.run_for(propagation);
  }

  fake_cell::node& leader() {
    return *this->cell.nodes[static_cast<std::size_t>(this->cell.leader())];
  }
  void publish() {
    this->cell.config.version.value += 1;
    this->cell.store.put("op", "config", std::to_string(this->cell.config.version.value));
  }
  void publish_attempts(std::int32_t attempts) {
    this->cell.config.queues.front().max_attempts = attempts;
    this->publish();
  }
  void set_failure_rate(double rate) {
    for (auto& runner : this->cell.runners) {
      runner->failure_rate = rate;
    }
  }
  // Submits the job. Its first run has begun and will fail, later ones are done.
  void submit_and_begin_failing_run() {
    this->set_failure_rate(1);
    this->cell.submit(this->cell.leader() == 0 ? 1 : 0, job, fake_cell::simple_job(1));
    this->await_start();
    this->set_failure_rate(0);
  }
  void await_start() {
    const std::int64_t before = this->cell.history.starts;
    constexpr millis step{10};
    constexpr millis longest{20'000};
    const instant until = this->cell.loop.now() + longest;
    while (this->cell.history.starts == before && this->cell.loop.now() < until) {
      this->cell.loop.run_for(step);
    }
    REQUIRE(this->cell.history.starts > before);
  }
  void check_completed() {
    constexpr millis rest{20'000};
    this->cell.loop.run_for(rest);
    CHECK(this->cell.history.failed_runs[std::string(job) + ".0.0.0"].size() < many);
    const auto phase = this->cell.phase(job);
    CHECK((phase ? to_string(*phase) : "unknown") == to_string(job_phase::completed));
  }

  fake_cell cell;
};

}  // namespace monsoonmux::cell
