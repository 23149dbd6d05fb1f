#include "net/exchange.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace poplar::net
{

namespace
{

/// Bytes that libmicrohttpd allocates per streamed response. Chunked bodies
/// are read into the connection's own buffer, so a small block is enough.
constexpr std::size_t stream_block_bytes = 1024;

/// Headers that libmicrohttpd writes itself.
constexpr std::array<std::string_view, 4> framing_headers{
    "content-length", "transfer-encoding", "connection", "keep-alive"};

bool is_framing_header(const header& h)
{
    return std::ranges::any_of(framing_headers, [&](std::string_view name)
                               { return find_header({h}, name) != nullptr; });
}

int socket_of(MHD_Connection* connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

class exchange_responder : public responder
{
public:
    explicit exchange_responder(exchange_ptr e) : exchange_(std::move(e)) {}
    ~exchange_responder() override
    {
        exchange_->abandon();
    }
    exchange_responder(const exchange_responder&) = delete;
    exchange_responder& operator=(const exchange_responder&) = delete;

    void respond(http_response response) override
    {
        exchange_->respond(std::move(response));
    }
    void begin(unsigned status, std::vector<header> headers) override
    {
        exchange_->begin(status, std::move(headers));
    }
    std::size_t write(std::string_view bytes) override
    {
        return exchange_->write(bytes);
    }
    void finish() override
    {
        exchange_->finish();
    }
    void abort() override
    {
        exchange_->abort();
    }
    void when_drained(std::size_t below, std::function<void()> hook) override
    {
        exchange_->when_drained(below, std::move(hook));
    }
    void when_gone(std::function<void()> hook) override
    {
        exchange_->when_gone(std::move(hook));
    }

private:
    exchange_ptr exchange_;
};

} // namespace

responder_ptr make_responder(exchange_ptr e)
{
    return std::make_shared<exchange_responder>(std::move(e));
}

exchange::exchange(MHD_Connection* connection, hangup_watcher& watcher,
                   std::string_view uri)
    : watcher_(watcher), socket_(socket_of(connection)), connection_(connection)
{
    const std::size_t mark = uri.find('?');
    request.path = uri.substr(0, mark);
    if (mark != std::string_view::npos)
        request.query = uri.substr(mark + 1);
}

void exchange::suspend()
{
    if (watch_ == 0)
        watch_ = watcher_.add(socket_,
                              [weak = weak_from_this()]
                              {
                                  if (auto self = weak.lock())
                                      self->peer_closed();
                              });
    suspended_ = true;
    MHD_suspend_connection(connection_);
}

void exchange::resume()
{
    if (!suspended_)
        return;
    suspended_ = false;
    MHD_resume_connection(connection_);
}

MHD_Response* exchange::make_response(stage at, bool close_after)
{
    MHD_Response* response = nullptr;
    if (at == stage::whole)
        // The body stays in response_ until libmicrohttpd reports the end.
        response = MHD_create_response_from_buffer(response_.body.size(),
                                                   response_.body.data(),
                                                   MHD_RESPMEM_PERSISTENT);
    else
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, stream_block_bytes, &exchange::read,
            new exchange_ptr(shared_from_this()),
            [](void* cls) { delete static_cast<exchange_ptr*>(cls); });
    for (const header& h : response_.headers)
        if (!is_framing_header(h))
            MHD_add_response_header(response, h.name.c_str(), h.value.c_str());
    if (close_after)
        MHD_add_response_header(response, "Connection", "close");
    return response;
}

MHD_Result exchange::advance(bool close_after)
{
    MHD_Connection* connection = nullptr;
    stage at = stage::waiting;
    {
        absl::MutexLock lock(&mutex_);
        if (stage_ == stage::broken)
            return MHD_NO;
        if (stage_ == stage::waiting)
        {
            suspend();
            return MHD_YES;
        }
        connection = connection_;
        at = stage_;
    }
    MHD_Response* response = make_response(at, close_after);
    const MHD_Result result =
        MHD_queue_response(connection, response_.status, response);
    MHD_destroy_response(response);
    return result;
}

void exchange::completed(bool whole)
{
    std::vector<std::function<void()>> hooks;
    std::vector<drain_hook> dropped;
    {
        absl::MutexLock lock(&mutex_);
        if (watch_ != 0)
            watcher_.remove(watch_, socket_);
        watch_ = 0;
        connection_ = nullptr;
        suspended_ = false;
        gone_ = true;
        stage_ = stage::broken;
        hooks.swap(gone_hooks_);
        dropped.swap(drain_hooks_);
    }
    if (whole)
        return;
    for (auto& hook : hooks)
        hook();
}

void exchange::peer_closed()
{
    break_off(true);
}

void exchange::break_off(bool gone)
{
    std::vector<std::function<void()>> hooks;
    {
        absl::MutexLock lock(&mutex_);
        if (stage_ == stage::whole || stage_ == stage::broken)
            return;
        stage_ = stage::broken;
        gone_ = gone;
        if (gone)
            hooks.swap(gone_hooks_);
        else
            gone_hooks_.clear();
        resume();
    }
    for (auto& hook : hooks)
        hook();
}

void exchange::respond(http_response response)
{
    absl::MutexLock lock(&mutex_);
    if (stage_ != stage::waiting)
        return;
    response_ = std::move(response);
    stage_ = stage::whole;
    resume();
}

void exchange::begin(unsigned status, std::vector<header> headers)
{
    absl::MutexLock lock(&mutex_);
    if (stage_ != stage::waiting)
        return;
    response_ = {status, std::move(headers), ""};
    stage_ = stage::streaming;
    resume();
}

std::size_t exchange::waiting_bytes() const
{
    return buffer_.size() - taken_;
}

std::size_t exchange::write(std::string_view bytes)
{
    absl::MutexLock lock(&mutex_);
    if (stage_ == stage::streaming)
    {
        buffer_.append(bytes);
        resume();
    }
    return waiting_bytes();
}

void exchange::finish()
{
    absl::MutexLock lock(&mutex_);
    if (stage_ != stage::streaming)
        return;
    stage_ = stage::finished;
    resume();
}

void exchange::abort()
{
    break_off(false);
}

void exchange::abandon()
{
    bool unanswered = false;
    bool unfinished = false;
    {
        absl::MutexLock lock(&mutex_);
        unanswered = stage_ == stage::waiting;
        unfinished = stage_ == stage::streaming;
    }
    if (unanswered)
        respond({500, {}, "the request was dropped\n"});
    if (unfinished)
        abort();
}

std::vector<exchange::drain_hook> exchange::due_hooks()
{
    const std::size_t n = waiting_bytes();
    const auto due = std::ranges::stable_partition(
        drain_hooks_, [n](const drain_hook& h) { return n >= h.below; });
    std::vector<drain_hook> taken(std::move_iterator(due.begin()),
                                  std::move_iterator(due.end()));
    drain_hooks_.erase(due.begin(), due.end());
    return taken;
}

void exchange::when_drained(std::size_t below, std::function<void()> hook)
{
    std::vector<drain_hook> due;
    {
        absl::MutexLock lock(&mutex_);
        if (stage_ == stage::broken)
            return;
        drain_hooks_.push_back({below, std::move(hook)});
        due = due_hooks();
    }
    for (drain_hook& h : due)
        h.call();
}

void exchange::when_gone(std::function<void()> hook)
{
    {
        absl::MutexLock lock(&mutex_);
        if (!gone_)
        {
            gone_hooks_.push_back(std::move(hook));
            return;
        }
    }
    hook();
}

ssize_t exchange::read(void* cls, std::uint64_t /*position*/, char* buf,
                       std::size_t max)
{
    return (*static_cast<exchange_ptr*>(cls))->take_bytes(buf, max);
}

ssize_t exchange::take_bytes(char* buf, std::size_t max)
{
    std::size_t n = 0;
    std::vector<drain_hook> due;
    {
        absl::MutexLock lock(&mutex_);
        if (stage_ == stage::broken)
            return MHD_CONTENT_READER_END_WITH_ERROR;
        n = std::min(max, waiting_bytes());
        if (n == 0 && stage_ == stage::finished)
            return MHD_CONTENT_READER_END_OF_STREAM;
        if (n == 0)
        {
            suspend();
            return 0;
        }
        std::memcpy(buf, buffer_.data() + taken_, n);
        taken_ += n;
        if (taken_ == buffer_.size())
        {
            buffer_.clear();
            taken_ = 0;
        }
        due = due_hooks();
    }
    for (drain_hook& h : due)
        h.call();
    return static_cast<ssize_t>(n);
}

} // namespace poplar::net
