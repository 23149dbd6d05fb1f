#include "wire/connection.hpp"

#include "observe/log.hpp"
#include "wire/tcp_connection.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/epoll.h>

namespace poplar::wire
{

namespace
{

bool is_out_of_descriptors(int ec)
{
    return ec == EMFILE || ec == ENFILE || ec == ENOBUFS || ec == ENOMEM;
}

/// A listening socket; passes on each accepted one.
class listener : public watched
{
public:
    using accepted_hook = std::function<void(file_handle, ip_address)>;

    listener(worker& w, file_handle fd, accepted_hook accepted)
        : worker_(w), id_(w.make_id()), fd_(std::move(fd)),
          accepted_(std::move(accepted))
    {
    }

    static void start(const std::shared_ptr<listener>& self)
    {
        self->worker_.post(
            [self] {
                self->worker_.watch(self->id_, self, self->fd_.get(), EPOLLIN);
            });
    }

    void handle(std::uint32_t) override
    {
        while (accept_one())
        {
        }
    }

    void tick(mono_time) override
    {
        if (std::exchange(is_paused_, false))
            worker_.set_events(fd_.get(), EPOLLIN, id_);
    }

    void stop() override
    {
        fd_.close();
        accepted_ = nullptr;
    }

private:
    bool accept_one()
    {
        socket_address peer;
        peer.length = sizeof peer.storage;
        file_handle fd(::accept4(fd_.get(), peer.get(), &peer.length,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (fd.is_open())
        {
            set_no_delay(fd.get());
            accepted_(std::move(fd), to_ip_address(peer));
            return true;
        }
        if (is_out_of_descriptors(errno))
        {
            observe::log(observe::event::wire_accept_failed,
                         {{"errno", errno}});
            // The socket stays readable; without the pause until the next tick
            // the worker would spin.
            is_paused_ = true;
            worker_.set_events(fd_.get(), 0, id_);
            return false;
        }
        return errno == ECONNABORTED || errno == EINTR;
    }

    worker& worker_;
    const std::uint64_t id_;
    file_handle fd_;
    accepted_hook accepted_;
    bool is_paused_ = false;
};

fb::helloT with_versions(fb::helloT hello)
{
    if (hello.lowest_version == 0)
        hello.lowest_version = lowest_protocol_version;
    if (hello.highest_version == 0)
        hello.highest_version = protocol_version;
    return hello;
}

} // namespace

std::string to_string(close_reason reason)
{
    switch (reason)
    {
    case close_reason::closed_by_peer:
        return "closed by peer";
    case close_reason::closed_here:
        return "closed here";
    case close_reason::silent:
        return "silent";
    case close_reason::connect_failed:
        return "connect failed";
    case close_reason::handshake_failed:
        return "handshake failed";
    case close_reason::protocol_fault:
        return "protocol fault";
    case close_reason::send_overflow:
        return "send overflow";
    }
    return "unknown";
}

class loop::implementation
{
public:
    explicit implementation(loop_options options)
        : shared_(std::make_shared<shared_options>(
              options.send_limit_bytes, std::move(options.heartbeat))),
          hello_(with_versions(std::move(options.hello)))
    {
        for (unsigned i = 0; i < std::max(1U, options.threads); ++i)
            workers_.push_back(std::make_unique<worker>());
        for (const auto& w : workers_)
            w->start();
    }

    ~implementation()
    {
        stop();
    }

    void stop()
    {
        // Hooks of the connections that close now may connect again.
        is_stopping_ = true;
        for (const auto& w : workers_)
            w->stop();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ip_address listen(const ip_address& at, connection_hooks hooks)
    {
        file_handle fd = open_listener(at);
        const ip_address chosen = local_address(fd.get());
        worker& w = *workers_.front();
        auto socket = std::make_shared<listener>(
            w, std::move(fd),
            [this, hooks = std::move(hooks)](file_handle accepted,
                                             ip_address from)
            { add(std::move(accepted), std::move(from), hooks, false); });
        listener::start(socket);
        return chosen;
    }

    connection_ptr connect(const ip_address& to, connection_hooks hooks)
    {
        file_handle fd;
        if (is_stopping_)
            return add({}, to, {}, true);
        try
        {
            fd = start_connect(to);
        }
        catch (const error&)
        {
            // Reported through `closed`, like a later failure.
            fd.close();
        }
        return add(std::move(fd), to, std::move(hooks), true);
    }

    void set_hello(fb::helloT hello)
    {
        absl::MutexLock lock(&mutex_);
        hello_ = with_versions(std::move(hello));
    }

    void call_later(duration delay, std::function<void()> task)
    {
        next_worker().post_at(now() + delay, std::move(task));
    }

private:
    fb::helloT hello()
    {
        absl::MutexLock lock(&mutex_);
        return hello_;
    }

    worker& next_worker()
    {
        return *workers_[next_++ % workers_.size()];
    }

    connection_ptr add(file_handle fd, ip_address remote,
                       connection_hooks hooks, bool connecting)
    {
        auto c = std::make_shared<tcp_connection>(
            next_worker(), shared_, std::move(hooks), std::move(fd),
            std::move(remote), connecting);
        c->start(hello());
        return c;
    }

    const std::shared_ptr<const shared_options> shared_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::atomic<std::size_t> next_{0};
    std::atomic<bool> is_stopping_{false};
    absl::Mutex mutex_;
    fb::helloT hello_ ABSL_GUARDED_BY(mutex_);
};

loop::loop(loop_options options)
    : implementation_(std::make_shared<implementation>(std::move(options)))
{
}

loop::~loop() = default;

ip_address loop::listen(const ip_address& at, connection_hooks hooks)
{
    return implementation_->listen(at, std::move(hooks));
}

connection_ptr loop::connect(const ip_address& to, connection_hooks hooks)
{
    return implementation_->connect(to, std::move(hooks));
}

void loop::stop()
{
    implementation_->stop();
}

void loop::set_hello(fb::helloT hello)
{
    implementation_->set_hello(std::move(hello));
}

void loop::call_later(duration delay, std::function<void()> task)
{
    implementation_->call_later(delay, std::move(task));
}

} // namespace poplar::wire
