/// Finds out which software version began a stream that a caller takes up
/// again, at whichever gateway it began.
#pragma once

#include "gateway/load_exchange.hpp"
#include "gateway/types.hpp"

#include <boost/asio/awaitable.hpp>
#include <list>
#include <optional>

namespace poplar::gateway
{

/// Used on the gateway's event loop only.
class stream_origin_exchange
{
public:
    stream_origin_exchange(asio::io_context& loop, load_exchange& loads);

    /// Records that the attempt brought the first event of a stream. To be
    /// called before that event is forwarded. `tells_peers` if the version
    /// cannot be inferred elsewhere: some peers get to know it at once, so that
    /// it is known when this process is killed.
    void begin(const attempt_id& attempt, const software_version& version,
               bool tells_peers);
    /// Version of the stream that began in this attempt, if this gateway knows
    /// it.
    std::optional<software_version> known(const attempt_id& attempt) const;
    /// The same if this gateway or a peer knows it.
    asio::awaitable<std::optional<software_version>> find(attempt_id attempt);

    /// To be called for each datagram with the identifier of these messages;
    /// throws parse_error.
    void on_datagram(std::span<const char> bytes,
                     const asio::ip::udp::endpoint& from);
    void discard_old();

private:
    /// A question to the peers.
    struct question
    {
        std::uint64_t attempt = 0;
        std::size_t open = 0; ///< Peers that have not answered.
        asio::steady_timer timeout;
    };

    void tell(std::uint64_t attempt, const software_version& version);
    void on_answer(std::uint64_t attempt);

    asio::io_context& loop_;
    load_exchange& loads_;
    policy::stream_origins origins_;
    std::list<question> questions_;
};

} // namespace poplar::gateway
