#include "standin/common/json.hpp"

namespace poplar::standin
{

using nlohmann::json;

void with_json(const net::http_request& request,
               const net::responder_ptr& answer,
               const std::function<void(const json&)>& use)
{
    try
    {
        use(json::parse(request.body));
    }
    catch (const json::exception& ec)
    {
        respond_json(answer, 400,
                     {{"error", "bad_request"}, {"message", ec.what()}});
    }
}

void respond_json(const net::responder_ptr& answer, unsigned status,
                  const json& body)
{
    answer->respond(net::json_response(
        status, body.dump(-1, ' ', false, json::error_handler_t::replace)));
}

void respond_error(const net::responder_ptr& answer, unsigned status,
                   const std::string& type)
{
    respond_json(answer, status, {{"error", type}});
}

} // namespace poplar::standin
