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

// The outcome of a record when it is applied in log order.
enum class record_outcome {
  applied,
  lost_race,  // Superseded, such as a config_patch whose base version is not current.
  invalid,    // Rejected by a check that gives the same result on every daemon.
  duplicate,  // A job whose id is already in use.
};

// One daemon's replica of the state that the log defines.
//
// apply() is called by a single thread in log order; all other methods may be called by any thread.
// Two replicas that have applied the same entries hold the same state. Applying an entry twice
// changes nothing, and the version of the configuration never decreases.
class replica {
 public:
  replica();

  // Applies one log entry. Foreign or damaged entries are counted and skipped.
  void apply(const std::string& bytes, instant now);

  config_ptr config() const;
  std::vector<config_change> config_history() const;

  std::optional<job> find_job(const job_id& id) const;
  // The newest `limit` jobs of the team, or of all teams if `team` is empty, in order of
  // acceptance.
  std::vector<job> jobs(const team_id& team, std::size_t limit) const;
  // Calls visit(job) for each unfinished job that has tasks in the domain.
  void for_each_open_job(const domain_id& domain,
                         const std::function<void(const job&)>& visit) const;
  std::size_t job_count() const;

  std::set<worker_id> workers(const domain_id& domain) const;

  resources budget_share(const team_id& team, const domain_id& domain) const;
  resources guaranteed_budget(const team_id& team, const domain_id& domain) const;
  config_version limit_version(const team_id& team) const;
  resources budget_given(const team_id& team, const domain_id& from, const domain_id& to) const;
  std::vector<budget_transfer> budget_records() const;
  // Returns the record that preserves the configuration beyond the log's retention.
  config_refresh make_refresh() const;
  epoch fence_epoch(const domain_id& domain) const;
  // Number of valid fencing records of the domain that this replica has applied.
  std::int64_t fence_count(const domain_id& domain) const;

  // Called for every record that is applied from the writer given to watch_own_records(), with the
  // sequence number of its envelope and its index in the envelope.
  using own_record_callback =
      std::function<void(std::int64_t sequence, std::size_t record_index, record_outcome)>;
  // Must be called before the first apply(), at most once.
  void watch_own_records(const daemon_id& writer, std::int64_t incarnation,
                         own_record_callback seen);

  // Jobs whose last job_record was applied before the given instant, oldest first. They have to be
  // appended again before the log's retention removes their records.
  std::vector<job> jobs_written_before(instant written_before, std::size_t limit) const;
  instant config_written() const;
  std::int64_t applied_entries() const;
  std::int64_t skipped_entries() const;

  // The complete state as log entries, for a daemon that starts without access to the log. `number`
  // distinguishes the entries from those of other snapshots.
  std::vector<std::string> snapshot(std::int64_t number) const;

  // Ids of the jobs accepted or cancelled since `cursor`, which is advanced to the present. Returns
  // nullopt if some of these changes have been dropped (only the last max_changes are kept); the
  // caller must then visit all open jobs.
  std::optional<std::vector<job_id>> changed_since(std::int64_t& cursor) const;

  // Removes finished jobs that were accepted and ended before the given Unix time.
  void remove_finished_jobs(std::int64_t before_ms);

 private:
  static constexpr std::size_t shard_count = 16;
  static constexpr std::size_t max_history = 256;
  static constexpr std::size_t max_changes = 8'192;

  struct job_entry {
    job value;
    instant written;  // When the last job_record was applied.
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

  // Accessed only by the thread that calls apply().
  instant apply_time;
  std::map<writer_key, std::int64_t> last_sequence;
  daemon_id own_writer;
  std::int64_t own_incarnation = 0;
  own_record_callback on_own_record;

  std::atomic<std::int64_t> entries{0};
  std::atomic<std::int64_t> skipped{0};
};

}  // namespace monsoonmux
