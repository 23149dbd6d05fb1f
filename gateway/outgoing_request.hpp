/// A request as an upstream call writes it.
#pragma once

#include "gateway/upstream_call.hpp"

#include <boost/beast/http/span_body.hpp>
#include <memory>
#include <string>

namespace poplar::gateway
{

/// The request being written. It outlives the call if the upstream answers
/// before it has read the whole request.
struct outgoing_request
{
    outgoing_request(request_head head, std::shared_ptr<const std::string> text)
        : body(std::move(text)), message(std::move(head))
    {
        message.body() = {body->data(), body->size()};
        const auto verb = message.method();
        const bool omits_length =
            body->empty() &&
            (verb == http::verb::get || verb == http::verb::head ||
             verb == http::verb::delete_);
        if (!omits_length)
            message.content_length(body->size());
    }

    std::shared_ptr<const std::string> body;
    http::request<http::span_body<const char>> message;
    bool is_written = false;
    error_code failure; ///< Of the write.
};

} // namespace poplar::gateway
