/// Drives a workload against its targets and measures it.
#pragma once

#include "load/answer_reader.hpp"
#include "load/report.hpp"
#include "load/request_source.hpp"
#include "net/http_client.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <map>
#include <memory>

namespace poplar::load
{

/// One chat request or call until its final outcome.
struct open_request
{
    std::size_t class_index = 0;
    chat_work chat;
    std::string key;       ///< Of a call.
    std::string call_body; ///< Of a call; the service echoes it.
    bool is_repeat = false;
    unsigned attempts = 0;
    unsigned targets_tried = 0;
    mono_time sent;
    mono_time last_event;
    measurement measured;
    answer_reader reader;
    std::string raw; ///< Begin of a body without text, for error bodies.

    explicit open_request(load::protocol form) : reader(form) {}
};

using request_ptr = std::shared_ptr<open_request>;

/// Decides the outcome of a chat request; fills `measured`.
void judge_chat(open_request& r, const net::client_result& result,
                const work_class& c, bool check_text);

/// Decides the outcome of a call.
void judge_call(open_request& r, const net::client_result& result,
                bool check_text);

class runner
{
public:
    /// `w` must have targets.
    explicit runner(workload w);
    ~runner();
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    /// Runs to the end; call it once.
    run_report run();

private:
    using action = std::function<void()>;

    void schedule(mono_time at, action a);
    void start_classes();
    void run_until_drained();
    bool take_due(action& a, mono_time until);
    void plan_arrival(std::size_t class_index, mono_time last);
    void arrive(std::size_t class_index, mono_time at);
    void start_new(std::size_t class_index);
    void send(const request_ptr& r);
    net::client_request make_request(const open_request& r);
    void take_piece(open_request& r, std::string_view piece) const;
    void finish(const request_ptr& r, const net::client_result& result);
    bool try_again(const request_ptr& r, const net::client_result& result);
    void follow(const request_ptr& r, duration pause);
    bool is_over(std::size_t class_index) const;
    const work_class& class_of(const open_request& r) const;

    const workload workload_;
    mono_time start_;
    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::multimap<mono_time, action> actions_ ABSL_GUARDED_BY(mutex_);
    std::size_t open_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<class_report> reports_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t next_target_ ABSL_GUARDED_BY(mutex_) = 0;
    /// Both are used by the thread of run() only.
    std::vector<request_source> sources_;
    std::vector<std::unique_ptr<net::http_client>> clients_;
};

} // namespace poplar::load
