/// JSON bodies of the stand-ins' HTTP interfaces.
#pragma once

#include "net/http_server.hpp"

#include <nlohmann/json.hpp>

namespace poplar::standin
{

/// Calls `use` with the parsed body; answers 400 when the body is not JSON or
/// `use` meets a missing or mistyped member.
void with_json(const net::http_request& request,
               const net::responder_ptr& answer,
               const std::function<void(const nlohmann::json&)>& use);

void respond_json(const net::responder_ptr& answer, unsigned status,
                  const nlohmann::json& body);

/// Answers {"error": type}.
void respond_error(const net::responder_ptr& answer, unsigned status,
                   const std::string& type);

} // namespace poplar::standin
