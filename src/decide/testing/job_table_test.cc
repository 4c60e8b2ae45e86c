#include "decide/job_table.h"

#include <catch2/catch.hpp>

namespace monsoonmux::cell {
namespace {

keyed_record submission_of(const std::string& id, const std::string& queue = "q") {
  job_submission s;
  s.job = job_id(id);
  s.queue = queue_id(queue);
  s.spec.steps.resize(1);
  s.spec.steps[0].count = 1;
  return {key_of(record_kind::submission, s.job), encode(s)};
}

keyed_record progress_of(const std::string& id, std::int64_t at, job_phase phase,
                         task_phase task = task_phase::waiting) {
  job_progress p;
  p.leader_epoch = epoch{at};
  p.phase = phase;
  p.ever_started = phase != job_phase::queued;
  p.occurrences = {{0, {{0, 0, task, 1, 0, "r", 0, ""}}}};
  return {key_of(record_kind::progress, job_id(id)), encode(p)};
}

// Applies the record at the next log offset.
job_table_change apply(job_table& table, const keyed_record& record) {
  static std::int64_t offset = 0;
  return table.apply(record, offset++);
}

TEST_CASE("The first submission of a job wins") {
  job_table table;
  CHECK(apply(table, submission_of("a", "q")) == job_table_change::submitted);
  CHECK(apply(table, submission_of("a", "other")) == job_table_change::nothing);
  CHECK(table.find(job_id("a"))->submission->queue == queue_id("q"));
  CHECK(table.pending(queue_id("q")) == 1);
  CHECK(table.pending(queue_id("other")) == 0);
}

TEST_CASE("Progress of a lower epoch is ignored") {
  job_table table;
  apply(table, submission_of("a"));
  apply(table, progress_of("a", 2, job_phase::running));
  CHECK(apply(table, progress_of("a", 1, job_phase::completed)) == job_table_change::nothing);
  CHECK(table.find(job_id("a"))->phase() == job_phase::running);
}

TEST_CASE("A job is pending until one of its runs has started") {
  job_table table;
  apply(table, submission_of("a"));
  apply(table, submission_of("b"));
  CHECK(table.pending(queue_id("q")) == 2);
  apply(table, progress_of("a", 1, job_phase::running));
  CHECK(table.pending(queue_id("q")) == 1);
  apply(table, {key_of(record_kind::cancellation, job_id("b")), "1"});
  CHECK(table.pending(queue_id("q")) == 0);
  CHECK(table.find(job_id("b"))->phase() == job_phase::cancelled);
}

TEST_CASE("A cancellation may come before its submission") {
  job_table table;
  apply(table, {key_of(record_kind::cancellation, job_id("a")), "1"});
  apply(table, submission_of("a"));
  CHECK(table.find(job_id("a"))->phase() == job_phase::cancelled);
  CHECK(table.pending(queue_id("q")) == 0);
}

TEST_CASE("Details are kept until no run of a final job can still be on a runner") {
  job_table table;
  apply(table, submission_of("a"));
  apply(table, progress_of("a", 1, job_phase::cancelled, task_phase::placed));
  CHECK_FALSE(table.find(job_id("a"))->settled());
  CHECK_FALSE(table.find(job_id("a"))->submission->spec.steps.empty());
  apply(table, progress_of("a", 1, job_phase::cancelled));
  CHECK(table.find(job_id("a"))->settled());
  CHECK(table.find(job_id("a"))->submission->spec.steps.empty());
  // A late duplicate does not restore the job's details.
  CHECK(apply(table, submission_of("a")) == job_table_change::nothing);
}

TEST_CASE("Unreadable records are reported and change nothing") {
  job_table table;
  CHECK(apply(table, {"zz", "x"}) == job_table_change::unreadable);
  CHECK(apply(table, {key_of(record_kind::submission, job_id("a")), "x"}) ==
        job_table_change::unreadable);
  CHECK(apply(table, {key_of(record_kind::progress, job_id("a")), "x"}) ==
        job_table_change::unreadable);
  CHECK(table.find(job_id("a")) == nullptr);
}

TEST_CASE("A record that was applied ahead of the log is not undone by an earlier one") {
  job_table table;
  table.apply(submission_of("a"), 5);
  table.apply(progress_of("a", 1, job_phase::completed), 9);
  CHECK(table.apply(progress_of("a", 1, job_phase::running), 7) == job_table_change::nothing);
  CHECK(table.find(job_id("a"))->phase() == job_phase::completed);
}

TEST_CASE("A progress record that is older than the one applied is not decoded") {
  job_table table;
  constexpr std::int64_t newest = 7;
  table.apply(progress_of("a", 1, job_phase::running), newest);
  // Decoding this would show that it is unreadable.
  const keyed_record not_decodable{key_of(record_kind::progress, job_id("a")), "not a record"};
  CHECK(table.apply(not_decodable, newest) == job_table_change::nothing);
  CHECK(table.apply(not_decodable, newest - 1) == job_table_change::nothing);
  CHECK(table.apply(not_decodable, newest + 1) == job_table_change::unreadable);
  CHECK(table.find(job_id("a"))->phase() == job_phase::running);
}

TEST_CASE("The phase that the leader reported is shown until the log is newer") {
  job_table table;
  table.set_leader_phase(job_id("a"), job_phase::queued);
  REQUIRE(table.find(job_id("a")) != nullptr);
  table.set_leader_phase(job_id("a"), job_phase::completed);
  CHECK(table.find(job_id("a"))->phase() == job_phase::completed);
  table.apply(submission_of("a"), 1);
  table.apply(progress_of("a", 1, job_phase::running), 2);  // Older than the reported phase.
  CHECK(table.find(job_id("a"))->phase() == job_phase::completed);
  CHECK(table.pending(queue_id("q")) == 0);
}

}  // namespace
}  // namespace monsoonmux::cell
