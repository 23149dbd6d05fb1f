#include "net/http_server.hpp"

#include "net/acceptor.hpp"
#include "net/exchange.hpp"

#include <absl/container/flat_hash_set.h>
#include <atomic>
#include <cerrno>
#include <charconv>

namespace poplar::net
{

namespace
{

/// Inactive connections are closed after this many seconds; suspended ones
/// are not. Longer than any pause between requests of a busy caller.
constexpr unsigned inactivity_seconds = 300;

/// A body above the limit is read and dropped up to this multiple of it, as
/// an answer sent while the caller still writes can be lost to a reset.
constexpr std::size_t dropped_body_factor = 4;

MHD_Result collect_header(void* cls, MHD_ValueKind /*kind*/, const char* key,
                          const char* value)
{
    auto& headers = *static_cast<std::vector<header>*>(cls);
    headers.push_back({key, value ? value : ""});
    return MHD_YES;
}

std::size_t announced_length(const std::vector<header>& headers)
{
    const std::string* text = find_header(headers, "Content-Length");
    std::size_t n = 0;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), n);
    return n;
}

} // namespace

class http_server::implementation
{
public:
    implementation(http_server_options options, http_handler handler);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ip_address address() const
    {
        return acceptor_.address();
    }
    void stop_accepting();
    std::size_t open_requests() const;

private:
    static void* on_uri(void* cls, const char* uri, MHD_Connection* connection);
    static MHD_Result on_access(void* cls, MHD_Connection* connection,
                                const char* url, const char* method,
                                const char* version, const char* data,
                                std::size_t* size, void** context);
    static void on_completed(void* cls, MHD_Connection* connection,
                             void** context, MHD_RequestTerminationCode code);

    void start_daemon();
    MHD_Result start_request(exchange& e, MHD_Connection* connection,
                             const char* method);
    MHD_Result receive(exchange& e, std::string_view piece) const;
    void dispatch(const exchange_ptr& e);
    void forget(const exchange_ptr& e);

    const http_server_options options_;
    const http_handler handler_;
    hangup_watcher watcher_;
    acceptor acceptor_;
    std::atomic<bool> accepting_ = true;
    mutable absl::Mutex mutex_;
    bool closing_ ABSL_GUARDED_BY(mutex_) = false;
    absl::flat_hash_set<exchange_ptr> open_ ABSL_GUARDED_BY(mutex_);
    MHD_Daemon* daemon_ = nullptr;
};

http_server::implementation::implementation(http_server_options options,
                                            http_handler handler)
    : options_(std::move(options)), handler_(std::move(handler)),
      acceptor_(options_.listen)
{
    start_daemon();
}

void http_server::implementation::start_daemon()
{
    // A pool of one thread is refused by libmicrohttpd; 0 means no pool.
    const unsigned pool = options_.threads > 1 ? options_.threads : 0;
    // libmicrohttpd does not listen itself: its MHD_quiesce_daemon races with
    // its epoll threads, which ends the process ("Failed to remove listen FD
    // from epoll set", version 0.9.75).
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC |
            MHD_ALLOW_SUSPEND_RESUME,
        0, nullptr, nullptr, &implementation::on_access, this,
        MHD_OPTION_THREAD_POOL_SIZE, pool, MHD_OPTION_CONNECTION_LIMIT,
        options_.max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
        inactivity_seconds, MHD_OPTION_URI_LOG_CALLBACK,
        &implementation::on_uri, this, MHD_OPTION_NOTIFY_COMPLETED,
        &implementation::on_completed, this, MHD_OPTION_END);
    if (!daemon_)
        throw system_failure("start of the HTTP server", errno);
    acceptor_.start([this](int socket, const sockaddr* peer, socklen_t size)
                    { MHD_add_connection(daemon_, socket, peer, size); });
}

http_server::implementation::~implementation()
{
    stop_accepting();
    absl::flat_hash_set<exchange_ptr> open;
    {
        absl::MutexLock lock(&mutex_);
        closing_ = true;
        open = open_;
    }
    // libmicrohttpd ends the process if a connection is still suspended.
    for (const exchange_ptr& e : open)
        e->peer_closed();
    MHD_stop_daemon(daemon_);
}

void http_server::implementation::stop_accepting()
{
    accepting_ = false;
    acceptor_.stop();
}

std::size_t http_server::implementation::open_requests() const
{
    absl::MutexLock lock(&mutex_);
    return open_.size();
}

void* http_server::implementation::on_uri(void* cls, const char* uri,
                                          MHD_Connection* connection)
{
    auto* self = static_cast<implementation*>(cls);
    auto e = std::make_shared<exchange>(connection, self->watcher_, uri);
    absl::MutexLock lock(&self->mutex_);
    self->open_.insert(e);
    if (self->closing_)
        e->peer_closed();
    return new exchange_ptr(std::move(e));
}

MHD_Result http_server::implementation::on_access(
    void* cls, MHD_Connection* connection, const char* /*url*/,
    const char* method, const char* /*version*/, const char* data,
    std::size_t* size, void** context)
{
    auto* self = static_cast<implementation*>(cls);
    const exchange_ptr e = *static_cast<exchange_ptr*>(*context);
    if (!e->started)
        return self->start_request(*e, connection, method);
    if (*size > 0)
    {
        const std::string_view piece(data, *size);
        *size = 0;
        return self->receive(*e, piece);
    }
    if (!e->dispatched)
        self->dispatch(e);
    return e->advance(!self->accepting_);
}

MHD_Result http_server::implementation::start_request(
    exchange& e, MHD_Connection* connection, const char* method)
{
    e.started = true;
    e.request.method = method;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect_header,
                              &e.request.headers);
    const std::size_t length = announced_length(e.request.headers);
    if (length <= options_.max_body_bytes * dropped_body_factor)
        return MHD_YES;
    e.respond({413, {}, "the body is too large\n"});
    return e.advance(true);
}

MHD_Result http_server::implementation::receive(exchange& e,
                                                std::string_view piece) const
{
    e.received_bytes += piece.size();
    if (e.received_bytes > options_.max_body_bytes * dropped_body_factor)
        return MHD_NO;
    if (e.received_bytes <= options_.max_body_bytes)
        e.request.body.append(piece);
    return MHD_YES;
}

void http_server::implementation::dispatch(const exchange_ptr& e)
{
    e->dispatched = true;
    if (e->received_bytes > options_.max_body_bytes)
        return e->respond({413, {}, "the body is too large\n"});
    try
    {
        handler_(std::move(e->request), make_responder(e));
    }
    catch (const std::exception& ec)
    {
        e->respond({500, {}, std::string(ec.what()) + "\n"});
    }
}

void http_server::implementation::on_completed(void* cls,
                                               MHD_Connection* /*connection*/,
                                               void** context,
                                               MHD_RequestTerminationCode code)
{
    auto* held = static_cast<exchange_ptr*>(*context);
    if (!held)
        return;
    const exchange_ptr e = *held;
    delete held;
    *context = nullptr;
    static_cast<implementation*>(cls)->forget(e);
    e->completed(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

void http_server::implementation::forget(const exchange_ptr& e)
{
    absl::MutexLock lock(&mutex_);
    open_.erase(e);
}

http_server::http_server(http_server_options options, http_handler handler)
    : implementation_(std::make_unique<implementation>(std::move(options),
                                                       std::move(handler)))
{
}

http_server::~http_server() = default;

ip_address http_server::address() const
{
    return implementation_->address();
}

void http_server::stop_accepting()
{
    implementation_->stop_accepting();
}

std::size_t http_server::open_requests() const
{
    return implementation_->open_requests();
}

} // namespace poplar::net
