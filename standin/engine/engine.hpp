/// Stand-in engine: continuous batching in steps on one scheduler thread.
#pragma once

#include "standin/engine/counters.hpp"
#include "standin/engine/job.hpp"
#include "standin/engine/prefix_cache.hpp"
#include "standin/engine/settings.hpp"

#include <absl/synchronization/mutex.h>
#include <deque>
#include <functional>
#include <optional>
#include <thread>

namespace poplar::standin
{

enum class admission
{
    accepted,
    changing,      ///< An order is being carried out.
    wrong_model,   ///< Model or adapter is not loaded.
    wrong_role,    ///< The role does not do this work.
    too_long,      ///< More KV cache than the engine has.
    kv_unavailable ///< The KV cache to import is not of this prompt.
};

std::string to_string(admission result);

struct engine_order
{
    std::uint64_t fencing = 0;
    engine_setup setup;
};

enum class order_result
{
    accepted,
    unchanged, ///< The engine is in this state already.
    stale,
    busy
};

std::string to_string(order_result result);

struct load_sample
{
    mono_time at;
    engine_setup setup;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::int64_t queued_prompt_tokens = 0;
    std::size_t decode_streams = 0;
    std::int64_t kv_pieces_free = 0;
};

struct engine_state
{
    engine_setup setup;
    bool changing = false;
};

/// KV cache kept for export.
struct kept_kv
{
    std::uint64_t digest = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t pieces = 0;
    mono_time until;
};

/// Fetches the weights of a model and then calls `done` with whether it has
/// them; must not call it before it returns.
using weight_loader = std::function<void(const engine_setup& setup,
                                         std::function<void(bool)> done)>;

/// All members may be called from any thread.
class engine
{
public:
    engine(engine_settings settings, weight_loader load_weights);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Checks a request without its KV cache.
    admission check(const job_request& request) const;
    /// Queues a job. `kv_digest` is set when a KV cache has been imported.
    admission submit(job_request request, const net::responder_ptr& answer,
                     std::optional<std::uint64_t> kv_digest);
    /// Ends a job; false when there is none with this id.
    bool cancel(const std::string& request_id);
    order_result order(const engine_order& o);
    std::optional<kept_kv> export_kv(const std::string& handle);

    load_sample load() const;
    engine_state state() const;
    engine_counters counters() const;
    std::vector<cache_event> cache_events(std::uint64_t after,
                                          std::uint64_t& next) const;
    void set_speed(double factor);
    void set_frozen(bool frozen);

private:
    struct change
    {
        engine_setup target;
        mono_time until;
        bool weights_loaded = true;
        std::optional<mono_time> load_at; ///< Time of the next attempt.
    };

    /// What the next step computes.
    struct step
    {
        std::vector<std::pair<job_ptr, std::int64_t>> prefill; ///< Tokens.
        std::vector<job_ptr> decode;
    };

    void run();
    void admit(mono_time at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void start(const job_ptr& j) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    step plan() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    duration time_of(const step& s) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void apply(const step& s) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void finish_prefill(job& j) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void hand_out_kv(job& j) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void emit_token(job& j) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void end(job& j) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void remove_ended() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void drop_expired_kv(mono_time at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void begin_change(const engine_setup& target)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void finish_change(mono_time at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void load_weights(mono_time at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void cut_all() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void sample(mono_time at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    load_sample measure(mono_time at) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    order_result judge(const engine_order& o)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    admission check_locked(const job_request& request) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::int64_t pieces_for(std::int64_t tokens) const;

    const engine_settings settings_;
    const weight_loader load_weights_;
    mutable absl::Mutex mutex_;
    absl::CondVar work_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    bool frozen_ ABSL_GUARDED_BY(mutex_) = false;
    double speed_ ABSL_GUARDED_BY(mutex_) = 1;
    engine_setup setup_ ABSL_GUARDED_BY(mutex_);
    std::optional<change> change_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t highest_fencing_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t last_arrival_ ABSL_GUARDED_BY(mutex_) = 0;
    std::uint64_t last_handle_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<job_ptr> waiting_ ABSL_GUARDED_BY(mutex_); ///< Sorted.
    std::vector<job_ptr> running_ ABSL_GUARDED_BY(mutex_); ///< Sorted.
    std::int64_t kv_free_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, kept_kv> kept_ ABSL_GUARDED_BY(mutex_);
    prefix_cache cache_ ABSL_GUARDED_BY(mutex_);
    std::deque<load_sample> samples_ ABSL_GUARDED_BY(mutex_);
    engine_counters counters_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace poplar::standin
