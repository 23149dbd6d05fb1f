/// One connection of the inner protocol on a worker.
#pragma once

#include "wire/connection.hpp"
#include "wire/worker.hpp"

#include <deque>
#include <optional>

namespace poplar::wire
{

/// What all connections of a loop share.
struct shared_options
{
    std::size_t send_limit_bytes = 0;
    heartbeat_source heartbeat;
};

/// The socket is read and hooks are called on the worker's thread only; any
/// thread may send. No hook is called with `mutex_` held.
class tcp_connection : public connection,
                       public watched,
                       public std::enable_shared_from_this<tcp_connection>
{
public:
    /// `connecting`: the socket has started to connect; it is not usable when
    /// that failed at once.
    tcp_connection(worker& w, std::shared_ptr<const shared_options> options,
                   connection_hooks hooks, file_handle fd, ip_address remote,
                   bool connecting);

    /// Starts the handshake with this hello on the worker's thread. Once the
    /// worker has stopped, the connection is closed without a hook being
    /// called.
    void start(const fb::helloT& hello);

    bool send(std::string encoded) override;
    std::size_t queued_bytes() const override;
    void close() override;
    std::uint64_t serial() const override;
    ip_address remote() const override;

    void handle(std::uint32_t events) override;
    void tick(mono_time t) override;
    void stop() override;

private:
    enum class phase
    {
        connecting,
        handshake,
        open
    };

    void start_watching();
    void finish_connect();
    void read_frames();
    void dispatch(const frame& f);
    void take_hello(const frame& f);
    void fail(close_reason reason);
    void finish(close_reason reason);
    void log_closed(close_reason reason) const;
    void report_fault(const protocol_error& ec);
    bool is_closed() const;
    void request_close(close_reason reason)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void flush() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    /// False when the kernel takes no more for now or the socket failed.
    bool write_some() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void drop_written(std::size_t n) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void want_write(bool wanted) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    worker& worker_;
    const std::shared_ptr<const shared_options> options_;
    const std::uint64_t serial_;
    const ip_address remote_;

    // Used on the worker's thread only.
    connection_hooks hooks_;
    frame_reader reader_;
    phase phase_;
    /// Of the accepting side, sent when the peer's hello has arrived: a peer
    /// that gets it knows that it is heard.
    std::string answer_hello_;
    bool is_finished_ = false;
    mono_time started_;
    mono_time last_received_;
    mono_time last_heartbeat_;

    mutable absl::Mutex mutex_;
    file_handle fd_ ABSL_GUARDED_BY(mutex_);
    std::deque<std::string> queue_ ABSL_GUARDED_BY(mutex_);
    std::size_t front_written_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t queued_ ABSL_GUARDED_BY(mutex_) = 0;
    bool can_write_ ABSL_GUARDED_BY(mutex_) = false;
    bool wants_write_ ABSL_GUARDED_BY(mutex_) = false;
    std::optional<close_reason> closing_ ABSL_GUARDED_BY(mutex_);
};

} // namespace poplar::wire
