/// One request of an http_server and the answer being given to it.
#pragma once

#include "net/hangup_watcher.hpp"
#include "net/http_server.hpp"

#include <absl/synchronization/mutex.h>
#include <memory>
#include <microhttpd.h>

namespace poplar::net
{

/// State shared by the server's thread and the producer of the answer.
///
/// MHD_suspend_connection and MHD_resume_connection are called only with
/// mutex_ held: a resume that comes before its suspend is lost in
/// libmicrohttpd and the connection would hang.
///
/// Lock order: mutex_, then the locks of libmicrohttpd and of the watcher.
/// No lock is held while a hook runs.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(MHD_Connection* connection, hangup_watcher& watcher,
             std::string_view uri);

    http_request request; ///< Filled by the server's thread.
    std::size_t received_bytes = 0;
    bool started = false;    ///< The headers have been taken.
    bool dispatched = false; ///< The handler has been called.

    /// Called on the server's thread when the request is whole and again
    /// after each resume: queues the response, or suspends the connection.
    MHD_Result advance(bool close_after);
    /// Called on the server's thread when libmicrohttpd is done with it.
    void completed(bool whole);
    /// Called on the watcher's thread.
    void peer_closed();

    /// The members of responder.
    void respond(http_response response);
    void begin(unsigned status, std::vector<header> headers);
    std::size_t write(std::string_view bytes);
    void finish();
    void abort();
    void when_drained(std::size_t below, std::function<void()> hook);
    void when_gone(std::function<void()> hook);
    /// The producer is gone: answers 500, or breaks an unfinished body.
    void abandon();

private:
    enum class stage
    {
        waiting,   ///< No response given yet.
        whole,     ///< `response_` holds all of it.
        streaming, ///< `response_` has no body; bytes come through write.
        finished,  ///< Streaming, and no bytes will be added.
        broken     ///< Aborted, or the caller has gone.
    };

    struct drain_hook
    {
        std::size_t below;
        std::function<void()> call;
    };

    static ssize_t read(void* cls, std::uint64_t position, char* buf,
                        std::size_t max);
    ssize_t take_bytes(char* buf, std::size_t max);
    void suspend() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void resume() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    std::size_t waiting_bytes() const ABSL_SHARED_LOCKS_REQUIRED(mutex_);
    std::vector<drain_hook> due_hooks() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void break_off(bool gone);
    MHD_Response* make_response(stage at, bool close_after);

    hangup_watcher& watcher_;
    const int socket_;
    absl::Mutex mutex_;
    MHD_Connection* connection_ ABSL_GUARDED_BY(mutex_);
    bool suspended_ ABSL_GUARDED_BY(mutex_) = false;
    bool gone_ ABSL_GUARDED_BY(mutex_) = false;
    std::uint64_t watch_ ABSL_GUARDED_BY(mutex_) = 0; ///< 0: not watched.
    stage stage_ ABSL_GUARDED_BY(mutex_) = stage::waiting;
    http_response response_; ///< Constant once stage_ is not waiting.
    std::string buffer_ ABSL_GUARDED_BY(mutex_);
    std::size_t taken_ ABSL_GUARDED_BY(mutex_) = 0; ///< Of buffer_.
    std::vector<drain_hook> drain_hooks_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::function<void()>> gone_hooks_ ABSL_GUARDED_BY(mutex_);
};

using exchange_ptr = std::shared_ptr<exchange>;

/// Makes the responder of an exchange; its destruction abandons the exchange.
responder_ptr make_responder(exchange_ptr e);

} // namespace poplar::net
