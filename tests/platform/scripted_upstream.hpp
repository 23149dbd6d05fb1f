/// An upstream on loopback whose answers a test writes byte by byte, and a
/// caller that sends bytes.
#pragma once

#include "base/address.hpp"
#include "base/time.hpp"

#include <absl/synchronization/mutex.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace poplar::gateway
{

struct scripted_answer
{
    std::string bytes;
    bool closes = false;
    bool resets = false;
    duration delay{}; ///< Before the bytes.
    /// After the bytes, each after the pause.
    std::vector<std::string> pieces;
    duration pause{};
    /// The last piece comes again until the other side closes.
    bool repeats_last_piece = false;
};

class scripted_upstream
{
public:
    /// Gets the head of each request; called on the connection's thread.
    using script = std::function<scripted_answer(const std::string& head)>;

    explicit scripted_upstream(script answer);
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    ip_address address() const;
    std::vector<std::string> heads() const;
    /// Connections made so far.
    std::size_t connections() const;
    /// Connections that the other side closed while an answer was delayed.
    unsigned abandoned_connections() const;
    /// Bytes of pieces that could be sent.
    std::size_t sent_piece_bytes() const;

private:
    void accept_all();
    void serve(int socket);
    /// Waits; false when the other side closed.
    bool wait_while_open(int socket, duration d) const;
    /// False when the other side closed.
    bool send_pieces(int socket, const scripted_answer& answer);

    const script answer_;
    int listener_;
    mutable absl::Mutex mutex_;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<std::string> heads_ ABSL_GUARDED_BY(mutex_);
    unsigned abandoned_connections_ ABSL_GUARDED_BY(mutex_) = 0;
    std::size_t sent_piece_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<std::thread> connections_ ABSL_GUARDED_BY(mutex_);
    std::thread acceptor_;
};

/// Value of a field of a head; empty when absent.
std::string field_of(const std::string& head, const std::string& name);

/// Answer with a Content-Length; a success is signed.
std::string whole_answer(unsigned status, const std::string& id,
                         const std::string& body,
                         const std::string& fields = "");
/// Head of a chunked stream, and one chunk.
std::string stream_head(const std::string& id);
std::string chunk(const std::string& text);

class scripted_caller
{
public:
    explicit scripted_caller(const ip_address& to);
    ~scripted_caller();
    scripted_caller(const scripted_caller&) = delete;
    scripted_caller& operator=(const scripted_caller&) = delete;

    void send(const std::string& bytes) const;
    /// Bytes until `end` appears, the other side closes or `limit` passes.
    std::string read_until(const std::string& end,
                           duration limit = std::chrono::seconds(5));
    /// True when the other side has closed, within `limit`.
    bool is_closed(duration limit = std::chrono::seconds(2));
    void close();

private:
    int socket_;
};

} // namespace poplar::gateway
