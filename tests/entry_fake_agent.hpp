/// An agent with its upstream, for tests of the entry: speaks the inner
/// protocol and produces tokens that depend only on their place.
#pragma once

#include "wire/connection.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace poplar::entry
{

namespace fb = wire::fb;

inline std::string token_text(std::uint32_t index)
{
    // Long enough that a long answer does not fit the kernel's buffers.
    return "t" + std::to_string(index) + std::string(40, '.') + " ";
}

inline std::string whole_answer(std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i)
        text += token_text(i);
    return text;
}

struct fake_agent_options
{
    std::string instance;
    fb::load_reportT report; ///< Sent on each new connection.
    /// Streams stop before this token until `release`.
    std::uint32_t hold_at = UINT32_MAX;
    /// Makes the result of a call; null: the call is never answered.
    std::function<std::unique_ptr<fb::call_resultT>(const fb::callT&)> on_call;
};

class fake_agent
{
public:
    explicit fake_agent(fake_agent_options o)
        : options_(std::move(o)), hold_at_(options_.hold_at)
    {
        wire::loop_options lo;
        lo.threads = 1;
        lo.hello.instance = options_.instance;
        lo.hello.kind = fb::process_kind::agent;
        lo.hello.incarnation = 1;
        loop_ = std::make_unique<wire::loop>(std::move(lo));
        wire::connection_hooks h;
        h.opened = [this](const wire::connection_ptr& c, const fb::helloT&)
        {
            absl::MutexLock lock(&mutex_);
            connections_.push_back(c);
            c->send(wire::encode(options_.report));
        };
        h.received = [this](const wire::connection_ptr& c, const wire::frame& f)
        {
            receive(c, f);
        };
        h.closed = [](const wire::connection_ptr&, wire::close_reason) {
        };
        address_ = loop_->listen({"127.0.0.1", 0}, std::move(h));
    }
    ~fake_agent()
    {
        kill();
    }

    /// The process ends; its port refuses connections.
    void kill()
    {
        loop_.reset();
    }
    void report(const fb::load_reportT& r)
    {
        absl::MutexLock lock(&mutex_);
        options_.report = r;
        for (const wire::connection_ptr& c : connections_)
            c->send(wire::encode(r));
    }
    /// Closes the connections; the process goes on.
    void drop_connections()
    {
        absl::MutexLock lock(&mutex_);
        for (const wire::connection_ptr& c : connections_)
            c->close();
        connections_.clear();
    }
    void release()
    {
        absl::MutexLock lock(&mutex_);
        hold_at_ = UINT32_MAX;
        for (auto& [number, s] : streams_)
            pump(s);
    }
    ip_address address() const
    {
        return address_;
    }
    std::size_t opens() const
    {
        absl::MutexLock lock(&mutex_);
        return opens_;
    }
    std::size_t cancels() const
    {
        absl::MutexLock lock(&mutex_);
        return cancels_;
    }
    std::size_t sent_bytes() const
    {
        absl::MutexLock lock(&mutex_);
        return sent_bytes_;
    }
    fb::open_streamT last_open() const
    {
        absl::MutexLock lock(&mutex_);
        return last_open_;
    }
    std::vector<fb::assignmentT> assignments() const
    {
        absl::MutexLock lock(&mutex_);
        return assignments_;
    }
    std::vector<bool> take_overs() const
    {
        absl::MutexLock lock(&mutex_);
        return take_overs_;
    }

private:
    struct stream
    {
        wire::connection_ptr connection;
        std::uint64_t number = 0;
        std::uint32_t attempt = 0;
        std::uint32_t next = 0;
        std::uint32_t last = 0;
        std::int64_t window = 0;
        bool has_ended = false;
    };

    void receive(const wire::connection_ptr& c, const wire::frame& f)
    {
        absl::MutexLock lock(&mutex_);
        switch (f.type)
        {
        case wire::message_type::open_stream:
            return open(c, wire::decode<fb::open_streamT>(f));
        case wire::message_type::attach:
            return attach(c, wire::decode<fb::attachT>(f));
        case wire::message_type::window_update:
        {
            const auto update = wire::decode<fb::window_updateT>(f);
            streams_[update.stream].window += update.bytes;
            return pump(streams_[update.stream]);
        }
        case wire::message_type::cancel:
            ++cancels_;
            streams_.erase(wire::decode<fb::cancelT>(f).stream);
            return;
        case wire::message_type::call:
            return call(c, wire::decode<fb::callT>(f));
        case wire::message_type::assignment:
            assignments_.push_back(wire::decode<fb::assignmentT>(f));
            return;
        default:
            return;
        }
    }
    void open(const wire::connection_ptr& c, const fb::open_streamT& o)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        ++opens_;
        last_open_ = o;
        if (o.prefill_only)
        {
            fb::stream_endT end;
            end.stream = o.stream;
            end.attempt = o.attempt;
            end.kv = std::make_unique<fb::kv_sourceT>();
            end.kv->handle = "handle";
            c->send(wire::encode(end));
            return;
        }
        streams_[o.stream] = {c,
                              o.stream,
                              o.attempt,
                              o.resume_tokens,
                              o.max_tokens,
                              o.window_bytes,
                              false};
        pump(streams_[o.stream]);
    }
    void attach(const wire::connection_ptr& c, const fb::attachT& a)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        stream& s = streams_[a.stream];
        s.connection = c;
        s.next = a.next_offset;
        s.window = a.window_bytes;
        s.has_ended = false;
        pump(s);
    }
    void pump(stream& s) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        while (s.connection && s.next < s.last && s.next < hold_at_ &&
               s.window > 0)
        {
            fb::stream_dataT data;
            data.stream = s.number;
            data.attempt = s.attempt;
            data.offset = s.next++;
            data.tokens = 1;
            data.text = token_text(data.offset);
            s.window -= static_cast<std::int64_t>(data.text.size());
            sent_bytes_ += data.text.size();
            s.connection->send(wire::encode(data));
        }
        if (!s.connection || s.next < s.last || s.has_ended)
            return;
        fb::stream_endT end;
        end.stream = s.number;
        end.attempt = s.attempt;
        end.output_tokens = s.last;
        s.has_ended = true;
        s.connection->send(wire::encode(end));
    }
    void call(const wire::connection_ptr& c, const fb::callT& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        take_overs_.push_back(request.take_over);
        auto result = options_.on_call ? options_.on_call(request) : nullptr;
        if (!result)
            return;
        result->stream = request.stream;
        c->send(wire::encode(*result));
    }

    mutable absl::Mutex mutex_;
    fake_agent_options options_ ABSL_GUARDED_BY(mutex_);
    std::uint32_t hold_at_ ABSL_GUARDED_BY(mutex_);
    std::vector<wire::connection_ptr> connections_ ABSL_GUARDED_BY(mutex_);
    std::map<std::uint64_t, stream> streams_ ABSL_GUARDED_BY(mutex_);
    std::vector<fb::assignmentT> assignments_ ABSL_GUARDED_BY(mutex_);
    std::vector<bool> take_overs_ ABSL_GUARDED_BY(mutex_);
    fb::open_streamT last_open_ ABSL_GUARDED_BY(mutex_);
    std::size_t opens_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t cancels_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t sent_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    ip_address address_;
    std::unique_ptr<wire::loop> loop_;
};

} // namespace poplar::entry
