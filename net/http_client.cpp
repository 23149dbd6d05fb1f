#include "net/http_client.hpp"

#include "net/transfer.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <deque>
#include <optional>
#include <set>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>

namespace poplar::net
{

namespace
{

enum class command_kind
{
    start,
    cancel,
    resume,
    stop
};

struct command
{
    command_kind kind = command_kind::stop;
    exchange_number number = 0;
    client_request request;
    client_hooks hooks;
};

std::uint32_t epoll_events(int action)
{
    std::uint32_t events = 0;
    if (action & CURL_POLL_IN)
        events |= EPOLLIN;
    if (action & CURL_POLL_OUT)
        events |= EPOLLOUT;
    return events;
}

int curl_events(std::uint32_t events)
{
    int mask = 0;
    if (events & (EPOLLIN | EPOLLHUP))
        mask |= CURL_CSELECT_IN;
    if (events & EPOLLOUT)
        mask |= CURL_CSELECT_OUT;
    if (events & EPOLLERR)
        mask |= CURL_CSELECT_ERR;
    return mask;
}

void initialize_curl()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK)
        throw error("libcurl cannot be initialised");
}

} // namespace

std::string to_string(client_failure failure)
{
    switch (failure)
    {
    case client_failure::none:
        return "none";
    case client_failure::not_connected:
        return "not_connected";
    case client_failure::broken:
        return "broken";
    case client_failure::timed_out:
        return "timed_out";
    case client_failure::canceled:
        return "canceled";
    }
    return "unknown";
}

/// Members that are not guarded are used on the client's thread only.
class http_client::implementation
{
public:
    explicit implementation(unsigned max_connections_per_host);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    exchange_number start(client_request request, client_hooks hooks);
    void post(command c);

private:
    using transfer_ptr = std::unique_ptr<transfer>;
    /// Deadlines as last computed; checked again when they are reached, as
    /// received bytes move them without an update here.
    using deadline_set = std::set<std::pair<mono_time, exchange_number>>;

    static int on_socket(CURL* handle, curl_socket_t socket, int action,
                         void* cls, void* known);
    static int on_timer(CURLM* multi, long timeout_ms, void* cls);

    void run();
    void set_multi_options(unsigned max_connections_per_host);
    int wait_milliseconds() const;
    void handle_events();
    void handle_curl_timer();
    void handle_deadlines();
    void handle_results();
    bool handle_commands();
    void handle(command c);
    void open(command c);
    void list_deadline(transfer& t);
    /// Detaches the exchange; null when it has already ended.
    transfer_ptr take(exchange_number number);
    void cancel_all();

    int epoll_;
    int wake_event_;
    CURLM* multi_;
    std::optional<mono_time> curl_timer_;
    absl::flat_hash_map<exchange_number, transfer_ptr> transfers_;
    deadline_set deadlines_;
    std::atomic<exchange_number> last_number_ = 0;
    absl::Mutex mutex_;
    std::deque<command> commands_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

http_client::implementation::implementation(unsigned max_connections_per_host)
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_event_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (epoll_ < 0 || wake_event_ < 0)
        throw system_failure("epoll_create1", errno);
    initialize_curl();
    multi_ = curl_multi_init();
    set_multi_options(max_connections_per_host);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wake_event_;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_event_, &event);
    thread_ = std::thread([this] { run(); });
}

void http_client::implementation::set_multi_options(
    unsigned max_connections_per_host)
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION,
                      &implementation::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION,
                      &implementation::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(max_connections_per_host));
}

http_client::implementation::~implementation()
{
    post({command_kind::stop, 0, {}, {}});
    thread_.join();
    curl_multi_cleanup(multi_);
    close(wake_event_);
    close(epoll_);
}

exchange_number http_client::implementation::start(client_request request,
                                                   client_hooks hooks)
{
    const exchange_number number = ++last_number_;
    post({command_kind::start, number, std::move(request), std::move(hooks)});
    return number;
}

void http_client::implementation::post(command c)
{
    bool first = false;
    {
        absl::MutexLock lock(&mutex_);
        first = commands_.empty();
        commands_.push_back(std::move(c));
    }
    if (first)
        eventfd_write(wake_event_, 1);
}

int http_client::implementation::on_socket(CURL* /*handle*/,
                                           curl_socket_t socket, int action,
                                           void* cls, void* known)
{
    auto* self = static_cast<implementation*>(cls);
    if (action == CURL_POLL_REMOVE)
    {
        epoll_ctl(self->epoll_, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    epoll_event event{};
    event.events = epoll_events(action);
    event.data.fd = socket;
    epoll_ctl(self->epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket,
              &event);
    // Any pointer other than null marks the socket as added.
    curl_multi_assign(self->multi_, socket, self);
    return 0;
}

int http_client::implementation::on_timer(CURLM* /*multi*/, long timeout_ms,
                                          void* cls)
{
    auto* self = static_cast<implementation*>(cls);
    if (timeout_ms < 0)
        self->curl_timer_.reset();
    else
        self->curl_timer_ = now() + std::chrono::milliseconds(timeout_ms);
    return 0;
}

void http_client::implementation::run()
{
    for (;;)
    {
        handle_events();
        handle_curl_timer();
        handle_results();
        handle_deadlines();
        if (!handle_commands())
            return;
        handle_results();
    }
}

int http_client::implementation::wait_milliseconds() const
{
    mono_time next = mono_time::max();
    if (curl_timer_)
        next = *curl_timer_;
    if (!deadlines_.empty())
        next = std::min(next, deadlines_.begin()->first);
    if (next == mono_time::max())
        return -1;
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(next - now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 1000));
}

void http_client::implementation::handle_events()
{
    std::array<epoll_event, 256> events{};
    const int n =
        epoll_wait(epoll_, events.data(), events.size(), wait_milliseconds());
    for (int i = 0; i < n; ++i)
    {
        const epoll_event& event = events.at(i);
        if (event.data.fd == wake_event_)
            continue;
        int running = 0;
        curl_multi_socket_action(multi_, event.data.fd,
                                 curl_events(event.events), &running);
    }
}

void http_client::implementation::handle_curl_timer()
{
    if (!curl_timer_ || now() < *curl_timer_)
        return;
    curl_timer_.reset();
    int running = 0;
    curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
}

void http_client::implementation::handle_results()
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left))
    {
        if (message->msg != CURLMSG_DONE)
            continue;
        const CURLcode code = message->data.result;
        transfer* t = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &t);
        const transfer_ptr ended = take(t->number());
        ended->finish(code);
    }
}

void http_client::implementation::handle_deadlines()
{
    const mono_time at = now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= at)
    {
        const exchange_number number = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        transfer& t = *transfers_.at(number);
        if (t.deadline() > at)
            list_deadline(t);
        else
            take(number)->fail(client_failure::timed_out, "time limit reached");
    }
}

bool http_client::implementation::handle_commands()
{
    std::deque<command> taken;
    eventfd_t count = 0;
    eventfd_read(wake_event_, &count);
    {
        absl::MutexLock lock(&mutex_);
        taken.swap(commands_);
    }
    bool stopping = false;
    for (command& c : taken)
    {
        stopping = stopping || c.kind == command_kind::stop;
        handle(std::move(c));
    }
    if (stopping)
        cancel_all();
    return !stopping;
}

void http_client::implementation::handle(command c)
{
    if (c.kind == command_kind::start)
        return open(std::move(c));
    if (c.kind == command_kind::cancel)
    {
        if (const transfer_ptr t = take(c.number))
            t->fail(client_failure::canceled, "canceled");
        return;
    }
    if (c.kind != command_kind::resume)
        return;
    const auto it = transfers_.find(c.number);
    if (it != transfers_.end())
        it->second->resume();
}

void http_client::implementation::open(command c)
{
    auto t = std::make_unique<transfer>(c.number, std::move(c.request),
                                        std::move(c.hooks));
    list_deadline(*t);
    curl_multi_add_handle(multi_, t->handle());
    transfers_[c.number] = std::move(t);
}

void http_client::implementation::list_deadline(transfer& t)
{
    t.listed_deadline = t.deadline();
    deadlines_.insert({t.listed_deadline, t.number()});
}

http_client::implementation::transfer_ptr
http_client::implementation::take(exchange_number number)
{
    const auto it = transfers_.find(number);
    if (it == transfers_.end())
        return nullptr;
    transfer_ptr t = std::move(it->second);
    transfers_.erase(it);
    deadlines_.erase({t->listed_deadline, number});
    curl_multi_remove_handle(multi_, t->handle());
    return t;
}

void http_client::implementation::cancel_all()
{
    while (!transfers_.empty())
        take(transfers_.begin()->first)
            ->fail(client_failure::canceled, "the client was destroyed");
}

http_client::http_client(unsigned max_connections_per_host)
    : implementation_(
          std::make_unique<implementation>(max_connections_per_host))
{
}

http_client::~http_client() = default;

exchange_number http_client::start(client_request request, client_hooks hooks)
{
    return implementation_->start(std::move(request), std::move(hooks));
}

void http_client::cancel(exchange_number exchange)
{
    implementation_->post({command_kind::cancel, exchange, {}, {}});
}

void http_client::resume(exchange_number exchange)
{
    implementation_->post({command_kind::resume, exchange, {}, {}});
}

client_result http_client::fetch(client_request request)
{
    client_result result;
    absl::Notification ended;
    client_hooks hooks;
    hooks.done = [&](client_result r)
    {
        result = std::move(r);
        ended.Notify();
    };
    start(std::move(request), std::move(hooks));
    ended.WaitForNotification();
    return result;
}

} // namespace poplar::net
