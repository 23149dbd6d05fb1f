/// HTTP server with the platform's object API on loopback, backed by an
/// in-memory store.
#pragma once

#include "net/http_server.hpp"
#include "store/memory_store.hpp"

#include <mutex>
#include <thread>
#include <vector>

namespace poplar::platform
{

/// Serves reads, writes and long-poll watches of a memory_store.
class object_server
{
public:
    /// `store` must outlive the server.
    explicit object_server(store::memory_store& store);
    ~object_server();
    object_server(const object_server&) = delete;
    object_server& operator=(const object_server&) = delete;

    ip_address address() const
    {
        return server_.address();
    }

private:
    void handle(const net::http_request& request,
                const net::responder_ptr& out);
    net::http_response answer(const net::http_request& request);
    object_version version_of(std::uint64_t revision) const;
    net::http_response answer_read(const net::http_request& request,
                                   const std::string& key);
    net::http_response answer_write(const net::http_request& request,
                                    const std::string& key);

    store::memory_store& store_;
    std::mutex mutex_;
    bool is_stopping_ = false;
    std::vector<std::thread> watches_;
    net::http_server server_;
};

} // namespace poplar::platform
