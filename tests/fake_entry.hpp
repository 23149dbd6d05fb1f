/// An entry's end of the inner protocol for the agent's tests.
#pragma once

#include "wire/connection.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <map>
#include <vector>

namespace poplar::tests
{

namespace fb = wire::fb;

struct seen_stream
{
    std::string text;
    std::uint32_t next = 0; ///< Offset after the last token received.
    std::vector<std::uint32_t> offsets;
    std::vector<fb::end_reason> ends;
    fb::refusal refusal = fb::refusal::none;
    fb::ran_state ran = fb::ran_state::no;
    std::uint32_t output_tokens = 0;
    std::string kv_handle;
};

class fake_entry
{
public:
    fake_entry() : loop_({1, std::size_t(64) << 20, hello(), {}}) {}

    /// Connects and waits until the connection is open.
    void connect(const ip_address& agent)
    {
        wire::connection_hooks h;
        h.opened = [this](const wire::connection_ptr&, const fb::helloT& peer)
        {
            absl::MutexLock lock(&mutex_);
            peer_ = peer;
            is_open_ = true;
        };
        h.received = [this](const wire::connection_ptr&, const wire::frame& f)
        {
            receive(f);
        };
        h.closed = [this](const wire::connection_ptr&, wire::close_reason)
        {
            absl::MutexLock lock(&mutex_);
            is_open_ = false;
        };
        connection_ = loop_.connect(agent, std::move(h));
        wait([this] { return is_open_; });
    }

    void disconnect()
    {
        connection_->close();
        wait([this] { return !is_open_; });
    }

    template <class Message>
    void send(const Message& message)
    {
        connection_->send(wire::encode(message));
    }

    /// Waits for a condition over what was received.
    template <class Condition>
    bool wait(Condition condition, absl::Duration limit = absl::Seconds(8))
    {
        absl::MutexLock lock(&mutex_);
        return mutex_.AwaitWithTimeout(absl::Condition(&condition), limit);
    }

    bool wait_end(std::uint64_t number)
    {
        return wait([this, number] { return !streams_[number].ends.empty(); });
    }

    bool wait_tokens(std::uint64_t number, std::uint32_t next)
    {
        return wait([this, number, next]
                    { return streams_[number].next >= next; });
    }

    /// Waits for a load report that the condition accepts.
    template <class Condition>
    bool wait_report(Condition condition)
    {
        return wait(
            [this, condition]
            { return !reports_.empty() && condition(reports_.back()); });
    }

    bool wait_call(std::uint64_t number)
    {
        return wait([this, number] { return calls_.contains(number); });
    }

    bool wait_goaway()
    {
        return wait([this] { return goaways_ > 0; });
    }

    seen_stream stream(std::uint64_t number)
    {
        absl::MutexLock lock(&mutex_);
        return streams_[number];
    }

    fb::call_resultT call(std::uint64_t number)
    {
        absl::MutexLock lock(&mutex_);
        return calls_[number];
    }

    fb::load_reportT first_report()
    {
        absl::MutexLock lock(&mutex_);
        return reports_.front();
    }

    fb::helloT peer()
    {
        absl::MutexLock lock(&mutex_);
        return peer_;
    }

private:
    static fb::helloT hello()
    {
        fb::helloT h;
        h.instance = "entry-1";
        h.kind = fb::process_kind::entry;
        return h;
    }

    void receive(const wire::frame& f)
    {
        absl::MutexLock lock(&mutex_);
        if (f.type == wire::message_type::stream_data)
            take_data(wire::decode<fb::stream_dataT>(f));
        if (f.type == wire::message_type::stream_end)
            take_end(wire::decode<fb::stream_endT>(f));
        if (f.type == wire::message_type::load_report)
            reports_.push_back(wire::decode<fb::load_reportT>(f));
        if (f.type == wire::message_type::goaway)
            ++goaways_;
        if (f.type != wire::message_type::call_result)
            return;
        auto result = wire::decode<fb::call_resultT>(f);
        const std::uint64_t number = result.stream;
        calls_[number] = std::move(result);
    }

    void take_data(const fb::stream_dataT& data)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        seen_stream& s = streams_[data.stream];
        s.text += data.text;
        s.offsets.push_back(data.offset);
        s.next = data.offset + data.tokens;
    }

    void take_end(const fb::stream_endT& end)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        seen_stream& s = streams_[end.stream];
        s.ends.push_back(end.reason);
        s.refusal = end.refusal;
        s.ran = end.ran;
        s.output_tokens = end.output_tokens;
        if (end.kv)
            s.kv_handle = end.kv->handle;
    }

    absl::Mutex mutex_;
    bool is_open_ = false;
    fb::helloT peer_;
    std::map<std::uint64_t, seen_stream> streams_;
    std::map<std::uint64_t, fb::call_resultT> calls_;
    std::vector<fb::load_reportT> reports_;
    int goaways_ = 0;
    wire::connection_ptr connection_;
    wire::loop loop_; ///< Last: its threads use the rest.
};

} // namespace poplar::tests
