#include "tests/platform/object_server.hpp"

#include <nlohmann/json.hpp>

namespace poplar::platform
{

namespace
{

using net::http_request;
using net::http_response;
using nlohmann::json;
using store::object;

constexpr std::string_view base_path = "/objects/";

/// The value stands in the answer as it was written: an entry of another writer
/// need not be JSON that the library can read.
std::string object_json(const object& o)
{
    const std::string name = o.key.value.substr(o.key.value.find('/') + 1);
    const json meta{{"name", name}, {"revision", revision_of(o.version)}};
    return R"({"metadata":)" + meta.dump() + R"(,"spec":)" +
           (o.value.empty() ? "{}" : o.value) + "}";
}

std::string event_json(const object& o)
{
    return R"({"object":)" + object_json(o) + R"(,"deleted":)" +
           (o.version.value == 0 ? "true" : "false") + "}";
}

std::string list_json(const store::object_list& list, bool is_watch)
{
    std::string rows;
    for (const object& it : list.objects)
        rows += (rows.empty() ? "" : ",") +
                (is_watch ? event_json(it) : object_json(it));
    return R"({"asOf":)" + std::to_string(revision_of(list.revision)) +
           (is_watch ? R"(,"events":[)" : R"(,"items":[)") + rows +
           R"(],"hasMore":false})";
}

std::uint64_t number(const http_request& r, const char* name)
{
    return std::stoull(net::query_value(r, name, "0"));
}

} // namespace

object_server::object_server(store::memory_store& store)
    : store_(store),
      server_({.listen = {"127.0.0.1", 0}},
              [this](const http_request& r, const net::responder_ptr& out)
              { handle(r, out); })
{
}

object_server::~object_server()
{
    store_.stop_watches();
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    for (std::thread& it : watches_)
        it.join();
}

void object_server::handle(const http_request& request,
                           const net::responder_ptr& out)
{
    const auto respond = [this, request, out]
    {
        const store_era before = store_.era();
        http_response r = answer(request);
        // An answer that was made around a restoration has no single era.
        if (store_.era() != before)
            r = net::json_response(503, "{}");
        r.headers.push_back({"Store-Era", std::to_string(before.value)});
        out->respond(std::move(r));
    };
    if (request.query.find("watch=") == std::string::npos)
        return respond();
    const std::lock_guard lock(mutex_);
    if (is_stopping_)
        return out->respond(net::json_response(503, "{}"));
    watches_.emplace_back(respond);
}

http_response object_server::answer(const http_request& request)
{
    const std::string key = request.path.substr(base_path.size());
    try
    {
        return request.method == "GET" ? answer_read(request, key)
                                       : answer_write(request, key);
    }
    catch (const store::store_error& ec)
    {
        return net::json_response(
            ec.failure() == store::store_failure::compacted ? 410 : 503, "{}");
    }
    catch (const error&)
    {
        return net::json_response(503, "{}");
    }
}

/// A revision of an earlier era looks like one of this era.
object_version object_server::version_of(std::uint64_t revision) const
{
    return revision == 0 ? object_version()
                         : make_version(store_.era(), revision);
}

http_response object_server::answer_read(const http_request& request,
                                         const std::string& key)
{
    if (request.query.find("watch=") != std::string::npos)
        return net::json_response(
            200,
            list_json(store_.watch(
                          key + "/",
                          make_version(store_.era(), number(request, "watch")),
                          std::chrono::milliseconds(number(request, "waitMs"))),
                      true));
    if (key.find('/') == std::string::npos)
        return net::json_response(200,
                                  list_json(store_.list(key + "/"), false));
    const object o = store_.get(object_key(key));
    return net::json_response(o.version.value == 0 ? 404 : 200, object_json(o));
}

http_response object_server::answer_write(const http_request& request,
                                          const std::string& key)
{
    if (request.method == "DELETE")
    {
        store_.remove(object_key(key), version_of(number(request, "revision")));
        return net::json_response(200, object_json({}));
    }
    const json body = json::parse(request.body);
    const json& meta = body.at("metadata");
    const std::string name = meta.at("name").get<std::string>();
    const object_key full(request.method == "POST" ? key + "/" + name : key);
    const store::put_result r =
        store_.put(full, body.at("spec").dump(),
                   version_of(meta.value("revision", std::uint64_t(0))));
    const bool is_written = r.status == store::put_status::written;
    return net::json_response(is_written ? 200 : 409,
                              object_json(store_.get(full)));
}

} // namespace poplar::platform
