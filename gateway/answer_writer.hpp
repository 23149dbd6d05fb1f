/// Interface through which a request's answer is sent to its caller.
#pragma once

#include "gateway/upstream_call.hpp"

#include <string>
#include <string_view>

namespace poplar::gateway
{

/// Sends one answer to a caller. Either `send` is called once, or `begin`, then
/// `write` any number of times and `end`; `abort` at any time. After a failed
/// write the caller counts as disconnected; further writes fail or do nothing.
class answer_writer
{
public:
    virtual ~answer_writer() = default;

    /// Sends a complete answer.
    virtual asio::awaitable<void> send(answer_head head, std::string body) = 0;
    /// Starts an answer of unknown length.
    virtual asio::awaitable<void> begin(answer_head head) = 0;
    virtual asio::awaitable<void> write(std::string_view bytes) = 0;
    virtual asio::awaitable<void> end() = 0;
    /// Closes the connection, so that the caller sees the answer as incomplete.
    virtual void abort() = 0;
};

} // namespace poplar::gateway
