/// An upstream on loopback that sends answers given by a test byte for byte,
/// and a caller that sends raw bytes.
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

/// What the upstream sends for one request.
struct scripted_answer
{
    std::string bytes;
    bool closes = false;
    bool resets = false;       ///< Without sending anything.
    bool resets_after = false; ///< After all pieces were sent.
    /// Closes its side after all pieces and waits for the client to close, for
    /// a short time if `resets_after` is set too.
    bool closes_own_side = false;
    duration delay{}; ///< Time before `bytes` are sent.
    /// Time at the end of `delay` in which packets from the client are lost.
    duration packet_loss{};
    /// Time after `bytes` in which packets from the client are lost.
    duration packet_loss_after{};
    /// Sent after `bytes`, each one after `pause`.
    std::vector<std::string> pieces;
    duration pause{};
    /// The last piece is sent again and again until the client closes.
    bool repeats_last_piece = false;
};

/// Answers each request on any number of connections by a script.
class scripted_upstream
{
public:
    /// Returns the answer to a request with this head; called on the thread of
    /// the connection.
    using script = std::function<scripted_answer(const std::string& head)>;

    explicit scripted_upstream(script answer);
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    /// Connections accepted from now on are read only after this time.
    void pause_before_reading(duration pause);

    /// Answers each request as soon as its head has arrived; the body stays
    /// unread. To be called before the first request.
    void answer_before_body();

    ip_address address() const;
    std::vector<std::string> heads() const;
    /// Number of connections accepted so far.
    std::size_t connections() const;
    /// Number of connections closed by the client while an answer was delayed.
    unsigned abandoned_connections() const;
    /// Number of bytes of pieces that were sent.
    std::size_t sent_piece_bytes() const;

private:
    void accept_all();
    void serve(int socket);
    /// Waits for the delay of the answer; false when the client closed the
    /// connection.
    bool wait_for_delay(int socket, const scripted_answer& answer) const;
    /// Waits for `d`; false when the client closed the connection.
    bool wait_while_open(int socket, duration d) const;
    /// False when the client closed the connection.
    bool send_pieces(int socket, const scripted_answer& answer);
    void close_own_side(int socket, const scripted_answer& answer) const;
    /// Whether the request at the start of `bytes` can be answered.
    bool has_request(const std::string& bytes, const std::string& head);

    const script answer_;
    int listener_;
    mutable absl::Mutex mutex_;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<std::string> heads_ ABSL_GUARDED_BY(mutex_);
    unsigned abandoned_connections_ ABSL_GUARDED_BY(mutex_) = 0;
    duration pause_before_reading_ ABSL_GUARDED_BY(mutex_){};
    bool answers_before_body_ ABSL_GUARDED_BY(mutex_) = false;
    std::size_t sent_piece_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<std::thread> connections_ ABSL_GUARDED_BY(mutex_);
    std::thread acceptor_;
};

/// Value of a header field; empty when absent.
std::string field_of(const std::string& head, const std::string& name);

/// Answer with a Content-Length; successful ones get a signature unless
/// `fields` contains one.
std::string whole_answer(unsigned status, const std::string& id,
                         const std::string& body,
                         const std::string& fields = "");
/// Header of a chunked event stream.
std::string stream_head(const std::string& id);
/// `text` encoded as one HTTP chunk.
std::string chunk(const std::string& text);

struct received_answer
{
    std::string bytes;
    bool is_whole = false; ///< By its length or its last chunk.
    bool is_open = true;
};

/// A blocking client connection.
class scripted_caller
{
public:
    explicit scripted_caller(const ip_address& to);
    ~scripted_caller();
    scripted_caller(const scripted_caller&) = delete;
    scripted_caller& operator=(const scripted_caller&) = delete;

    void send(const std::string& bytes) const;
    /// Reads until `end` appears, the connection is closed or `limit` has
    /// passed; returns the bytes received.
    std::string read_until(const std::string& end,
                           duration limit = std::chrono::seconds(5));
    /// Reads until the answer is whole, the connection is closed or `limit` has
    /// passed.
    received_answer read_answer(duration limit);
    /// Waits up to `limit`; true when the server has closed the connection.
    bool is_closed(duration limit = std::chrono::seconds(2));
    void close();

private:
    int socket_;
};

} // namespace poplar::gateway
