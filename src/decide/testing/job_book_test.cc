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
  p.leader_epoch = epoch{at};
  p.phase = phase;
  p.ever_started = phase != job_phase::queued;
  p.occurrences = {{0, {{0, 0, task, 1, 0, "r", 0, ""}}}};
  return {key_of(record_kind::progress, job_id(id)), encode(p)};
}

// Applies records as if each were the next one of the log.
book_change apply(job_book& book, const keyed_record& record) {
  static std::int64_t offset = 0;
  return book.apply(record, offset++);
}

TEST_CASE("The first submission of a job stands") {
  job_book book;
  CHECK(apply(book, submission_of("a", "q")) == book_change::submitted);
  CHECK(apply(book, submission_of("a", "other")) == book_change::nothing);
  CHECK(book.find(job_id("a"))->submission->queue == queue_id("q"));
  CHECK(book.pending(queue_id("q")) == 1);
  CHECK(book.pending(queue_id("other")) == 0);
}

TEST_CASE("Progress of a lower epoch is void") {
  job_book book;
  apply(book, submission_of("a"));
  apply(book, progress_of("a", 2, job_phase::running));
  CHECK(apply(book, progress_of("a", 1, job_phase::completed)) == book_change::nothing);
  CHECK(book.find(job_id("a"))->phase() == job_phase::running);
}

TEST_CASE("A job is pending until a run of it began") {
  job_book book;
  apply(book, submission_of("a"));
  apply(book, submission_of("b"));
  CHECK(book.pending(queue_id("q")) == 2);
  apply(book, progress_of("a", 1, job_phase::running));
  CHECK(book.pending(queue_id("q")) == 1);
  apply(book, {key_of(record_kind::cancellation, job_id("b")), "1"});
  CHECK(book.pending(queue_id("q")) == 0);
  CHECK(book.find(job_id("b"))->phase() == job_phase::cancelled);
}

TEST_CASE("A cancellation may come before its submission") {
  job_book book;
  apply(book, {key_of(record_kind::cancellation, job_id("a")), "1"});
  apply(book, submission_of("a"));
  CHECK(book.find(job_id("a"))->phase() == job_phase::cancelled);
  CHECK(book.pending(queue_id("q")) == 0);
}

TEST_CASE("Details are kept until no run of a final job may be left") {
  job_book book;
  apply(book, submission_of("a"));
  apply(book, progress_of("a", 1, job_phase::cancelled, task_phase::placed));
  CHECK_FALSE(book.find(job_id("a"))->settled());
  CHECK_FALSE(book.find(job_id("a"))->submission->spec.steps.empty());
  apply(book, progress_of("a", 1, job_phase::cancelled));
  CHECK(book.find(job_id("a"))->settled());
  CHECK(book.find(job_id("a"))->submission->spec.steps.empty());
  // A repeat that arrives late revives nothing.
  CHECK(apply(book, submission_of("a")) == book_change::nothing);
}

TEST_CASE("Foreign bytes are reported and change nothing") {
  job_book book;
  CHECK(apply(book, {"zz", "x"}) == book_change::unreadable);
  CHECK(apply(book, {key_of(record_kind::submission, job_id("a")), "x"}) ==
        book_change::unreadable);
  CHECK(apply(book, {key_of(record_kind::progress, job_id("a")), "x"}) == book_change::unreadable);
  CHECK(book.find(job_id("a")) == nullptr);
}

TEST_CASE("A record that was applied ahead of the log is not undone by an earlier one") {
  job_book book;
  book.apply(submission_of("a"), 5);
  book.apply(progress_of("a", 1, job_phase::completed), 9);
  CHECK(book.apply(progress_of("a", 1, job_phase::running), 7) == book_change::nothing);
  CHECK(book.find(job_id("a"))->phase() == job_phase::completed);
}

TEST_CASE("What the owner tells is shown until the log says more") {
  job_book book;
  book.note_phase(job_id("a"), job_phase::queued);
  REQUIRE(book.find(job_id("a")) != nullptr);
  book.note_phase(job_id("a"), job_phase::completed);
  CHECK(book.find(job_id("a"))->phase() == job_phase::completed);
  book.apply(submission_of("a"), 1);
  book.apply(progress_of("a", 1, job_phase::running), 2);  // On its way when it was told.
  CHECK(book.find(job_id("a"))->phase() == job_phase::completed);
  CHECK(book.pending(queue_id("q")) == 0);
}

}  // namespace
}  // namespace monsoonmux::cell
