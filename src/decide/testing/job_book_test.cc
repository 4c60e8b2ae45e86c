#include "decide/job_book.h"

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
  p.owner_epoch = epoch{at};
  p.phase = phase;
  p.ever_started = phase != job_phase::queued;
  p.occurrences = {{0, {{0, 0, task, 1, 0, "r", 0, ""}}}};
  return {key_of(record_kind::progress, job_id(id)), encode(p)};
}

TEST_CASE("The first submission of a job stands") {
  job_book book;
  CHECK(book.apply(submission_of("a", "q")) == book_change::submitted);
  CHECK(book.apply(submission_of("a", "other")) == book_change::nothing);
  CHECK(book.find(job_id("a"))->submission->queue == queue_id("q"));
  CHECK(book.pending(queue_id("q")) == 1);
  CHECK(book.pending(queue_id("other")) == 0);
}

TEST_CASE("Progress of a lower epoch is void") {
  job_book book;
  book.apply(submission_of("a"));
  book.apply(progress_of("a", 2, job_phase::running));
  CHECK(book.apply(progress_of("a", 1, job_phase::completed)) == book_change::nothing);
  CHECK(book.find(job_id("a"))->phase() == job_phase::running);
}

TEST_CASE("A job is pending until a run of it began") {
  job_book book;
  book.apply(submission_of("a"));
  book.apply(submission_of("b"));
  CHECK(book.pending(queue_id("q")) == 2);
  book.apply(progress_of("a", 1, job_phase::running));
  CHECK(book.pending(queue_id("q")) == 1);
  book.apply({key_of(record_kind::cancellation, job_id("b")), "1"});
  CHECK(book.pending(queue_id("q")) == 0);
  CHECK(book.find(job_id("b"))->phase() == job_phase::cancelled);
}

TEST_CASE("A cancellation may come before its submission") {
  job_book book;
  book.apply({key_of(record_kind::cancellation, job_id("a")), "1"});
  book.apply(submission_of("a"));
  CHECK(book.find(job_id("a"))->phase() == job_phase::cancelled);
  CHECK(book.pending(queue_id("q")) == 0);
}

TEST_CASE("Details are kept until no run of a final job may be left") {
  job_book book;
  book.apply(submission_of("a"));
  book.apply(progress_of("a", 1, job_phase::cancelled, task_phase::placed));
  CHECK_FALSE(book.find(job_id("a"))->settled());
  CHECK_FALSE(book.find(job_id("a"))->submission->spec.steps.empty());
  book.apply(progress_of("a", 1, job_phase::cancelled));
  CHECK(book.find(job_id("a"))->settled());
  CHECK(book.find(job_id("a"))->submission->spec.steps.empty());
  // A repeat that arrives late revives nothing.
  CHECK(book.apply(submission_of("a")) == book_change::nothing);
}

TEST_CASE("Foreign bytes are reported and change nothing") {
  job_book book;
  CHECK(book.apply({"zz", "x"}) == book_change::unreadable);
  CHECK(book.apply({key_of(record_kind::submission, job_id("a")), "x"}) == book_change::unreadable);
  CHECK(book.apply({key_of(record_kind::progress, job_id("a")), "x"}) == book_change::unreadable);
  CHECK(book.find(job_id("a")) == nullptr);
}

}  // namespace
}  // namespace monsoonmux::cell
