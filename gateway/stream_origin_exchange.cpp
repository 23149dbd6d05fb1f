#include "gateway/stream_origin_exchange.hpp"

#include "base/digest.hpp"
#include "gateway/stream_origin_message.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace poplar::gateway
{

namespace
{

/// Peers that are told of each stream. Half of all gateways may be killed at
/// once; one of these is then almost always left.
constexpr std::size_t told_peers = 5;
/// A peer on a machine with a small quota of processor time answers this late.
constexpr duration answer_timeout = std::chrono::milliseconds(250);

} // namespace

stream_origin_exchange::stream_origin_exchange(asio::io_context& loop,
                                               load_exchange& loads)
    : loop_(loop), loads_(loads)
{
}

void stream_origin_exchange::begin(const attempt_id& attempt,
                                   const software_version& version,
                                   bool tells_peers)
{
    if (attempt.empty())
        return;
    const std::uint64_t key = digest(attempt.value);
    origins_.add(key, version, now());
    if (tells_peers)
        tell(key, version);
}

void stream_origin_exchange::tell(std::uint64_t attempt,
                                  const software_version& version)
{
    std::vector<asio::ip::udp::endpoint> peers = loads_.live_peers();
    const std::size_t n = std::min(told_peers, peers.size());
    std::ranges::partial_sort(
        peers, peers.begin() + std::ptrdiff_t(n), std::ranges::greater(),
        [&](const asio::ip::udp::endpoint& it)
        {
            return rendezvous_weight(it.address().to_string() + ":" +
                                         std::to_string(it.port()),
                                     attempt);
        });
    peers.resize(n);
    const std::string bytes = encode_stream_origin({attempt, version, false});
    for (const auto& it : peers)
        loads_.send_datagram(bytes, it);
}

std::optional<software_version>
stream_origin_exchange::known(const attempt_id& attempt) const
{
    return origins_.find(digest(attempt.value));
}

asio::awaitable<std::optional<software_version>>
stream_origin_exchange::find(attempt_id attempt)
{
    const std::uint64_t key = digest(attempt.value);
    const auto known = origins_.find(key);
    const auto& peers = loads_.peers();
    if (known || attempt.empty() || peers.empty())
        co_return known;
    const auto it = questions_.insert(
        questions_.end(),
        question{key, peers.size(), asio::steady_timer(loop_, answer_timeout)});
    const std::string bytes = encode_stream_origin({key, std::nullopt, true});
    for (const auto& peer : peers)
        loads_.send_datagram(bytes, peer);
    error_code ec; // Set when the answers are complete before the timeout.
    co_await it->timeout.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
    questions_.erase(it);
    co_return origins_.find(key);
}

void stream_origin_exchange::on_datagram(std::span<const char> bytes,
                                         const asio::ip::udp::endpoint& from)
{
    const stream_origin_message message = decode_stream_origin(bytes);
    if (message.asks)
        return loads_.send_datagram(
            encode_stream_origin(
                {message.attempt, origins_.find(message.attempt), false}),
            from);
    if (message.version)
        origins_.add(message.attempt, *message.version, now());
    on_answer(message.attempt);
}

void stream_origin_exchange::on_answer(std::uint64_t attempt)
{
    const bool is_known = origins_.find(attempt).has_value();
    for (question& it : questions_)
    {
        if (it.attempt != attempt)
            continue;
        it.open -= std::min<std::size_t>(it.open, 1);
        if (is_known || it.open == 0)
            it.timeout.cancel();
    }
}

void stream_origin_exchange::discard_old()
{
    origins_.discard_old(now());
}

} // namespace poplar::gateway
