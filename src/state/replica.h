#pragma once

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "state/budget_table.h"
#include "state/config_view.h"
#include "state/record.h"

namespace monsoonmux {

// What became of one of a daemon's own records when log order reached it.
enum class record_outcome {
  applied,
  lost_race,  // A config patch whose base was not current any more.
  invalid,    // Refused by the same check on every daemon.
  duplicate,  // A job whose id was already taken.
};

// One daemon's copy of the state that the log defines.
//
// apply() is called by one thread in log order; all other methods may be called
// by any thread. Two replicas that applied the same entries agree. Applying an
// entry twice changes nothing, and the configuration's version never falls.
class replica {
 public:
  replica();

  // Applies one entry. Foreign or damaged bytes are counted and skipped.
  void apply(const std::string& bytes, instant now);

  config_ptr config() const;
  std::vector<config_change> config_history() const;

  std::optional<job> find_job(const job_id& id) const;
  // Jobs of the team, or all if it is empty; at most `limit`, newest last.
  std::vector<job> jobs(const team_id& team, std::size_t limit) const;
  // Calls see(job) for each unfinished job with a part in the domain.
  void for_each_open_job(const domain_id& domain,
                         const std::function<void(const job&)>& visit) const;
  std::size_t job_count() const;

  std::set<worker_id> workers(const domain_id& domain) const;

  resources budget_share(const team_id& team, const domain_id& domain) const;
  resources guaranteed_budget(const team_id& team, const domain_id& domain) const;
  config_version limit_version(const team_id& team) const;
  resources budget_given(const team_id& team, const domain_id& from, const domain_id& to) const;
  std::vector<budget_transfer> budget_records() const;
  // The record that carries the configuration past the log's retention.
  config_refresh make_refresh() const;
  epoch fence_epoch(const domain_id& domain) const;
  // How many placers of the domain have written a fence that this daemon read.
  std::int64_t fence_count(const domain_id& domain) const;

  // Called for every record of `writer` that is applied, with its envelope's
  // sequence number and its place in the envelope. Set once, before apply().
  using own_record_callback =
      std::function<void(std::int64_t sequence, std::size_t record_index, record_outcome)>;
  void watch_own_records(const daemon_id& writer, std::int64_t incarnation,
                         own_record_callback seen);

  // Jobs last written whole before the given instant, oldest first: those to
  // append again before the log forgets them.
  std::vector<job> jobs_written_before(instant written_before, std::size_t limit) const;
  instant config_written() const;
  std::int64_t applied_entries() const;
  std::int64_t skipped_entries() const;

  // The whole state as log entries, for a daemon that starts without the log.
  // `number` makes the entries differ from those of other snapshots.
  std::vector<std::string> snapshot(std::int64_t number) const;

  // Names of jobs accepted or cancelled since the cursor, which moves on.
  // Nothing if too many have passed; then look at all open jobs.
  std::optional<std::vector<job_id>> changed_since(std::int64_t& cursor) const;

  // Forgets finished jobs that ended before the given Unix time.
  void remove_finished_jobs(std::int64_t before_ms);

 private:
  static constexpr std::size_t shard_count = 16;
  static constexpr std::size_t max_history = 256;
  static constexpr std::size_t max_changes = 8'192;

  struct job_entry {
    job value;
    instant written;  // When last written whole.
  };
  struct shard {
    mutable std::mutex lock;
    std::map<job_id, job_entry> jobs;
  };
  struct writer_key {
    daemon_id writer;
    std::int64_t incarnation = 0;
    auto operator<=>(const writer_key&) const = default;
  };

  record_outcome apply_record(const config_patch& r);
  record_outcome apply_record(const config_refresh& r);
  record_outcome apply_record(const job_record& r);
  record_outcome apply_record(const job_cancel& r);
  record_outcome apply_record(const job_unsatisfiable& r);
  record_outcome apply_record(const task_updates& r);
  record_outcome apply_record(const worker_joined& r);
  record_outcome apply_record(const worker_left& r);
  record_outcome apply_record(const fencing_record& r);
  record_outcome apply_record(const budget_transfer& r);
  void record_change(const job_id& id);
  void install(config_version version, const std::string& text, document doc);
  shard& shard_of(const job_id& id);
  const shard& shard_of(const job_id& id) const;

  std::array<shard, shard_count> shards;

  mutable std::mutex config_lock;
  config_ptr current;
  std::deque<config_change> history;
  instant config_time;

  mutable std::mutex budget_lock;
  budget_table budgets;

  mutable std::mutex worker_lock;
  std::map<worker_id, domain_id> worker_domains;

  mutable std::mutex change_lock;
  std::deque<job_id> changes;
  std::int64_t change_count = 0;

  // Used by apply() alone.
  instant apply_time;
  std::map<writer_key, std::int64_t> last_sequence;
  daemon_id own_writer;
  std::int64_t own_incarnation = 0;
  own_record_callback on_own_record;

  std::atomic<std::int64_t> entries{0};
  std::atomic<std::int64_t> skipped{0};
};

}  // namespace monsoonmux
