#include "store/api_json.hpp"
#include "store/dialect.hpp"

#include <charconv>
#include <optional>

namespace poplar::store
{

namespace
{

using net::http_response;

const std::string era_header = "X-Store-Era";

std::optional<std::uint64_t> number_header(const http_response& response,
                                           const std::string& name)
{
    const std::string* text = net::find_header(response.headers, name);
    if (!text)
        return std::nullopt;
    std::uint64_t n = 0;
    const char* end = text->data() + text->size();
    const auto [it, ec] = std::from_chars(text->data(), end, n);
    if (text->empty() || ec != std::errc() || it != end)
        throw parse_error(name + " is not a number");
    return n;
}

store_era era_in(const http_response& response)
{
    return store_era(number_header(response, era_header).value_or(0));
}

object_version version_header(const http_response& response)
{
    const auto n = number_header(response, "X-Version");
    if (!n)
        throw parse_error("the answer has no X-Version");
    return *n == 0 ? object_version() : make_version(era_in(response), *n);
}

std::string object_path(const object_key& key)
{
    return "/v1/objects/" + escape_path(key.value);
}

store_call put_call(const object_key& key, const std::string& value,
                    object_version expected)
{
    store_call call{"PUT", object_path(key), {}, value};
    if (expected == object_version())
    {
        call.headers.push_back({"If-None-Match", "*"});
        return call;
    }
    call.headers.push_back({"If-Match", std::to_string(revision_of(expected))});
    call.headers.push_back(
        {era_header, std::to_string(era_of(expected).value)});
    return call;
}

store_call remove_call(const object_key& key, object_version expected)
{
    store_call call = put_call(key, "", expected);
    call.method = "DELETE";
    return call;
}

store_call watch_call(const std::string& prefix, object_version after,
                      duration timeout)
{
    return {"GET",
            "/v1/watch?prefix=" + escape_query(prefix) +
                "&after=" + std::to_string(revision_of(after)) +
                "&timeout_ms=" + std::to_string(to_milliseconds(timeout))};
}

} // namespace

store_dialect make_own_dialect()
{
    store_dialect d;
    d.get = [](const object_key& key) -> store_call
    {
        return {"GET", object_path(key)};
    };
    d.put = put_call;
    d.remove = remove_call;
    d.list = [](const std::string& prefix, const std::string&) -> store_call
    {
        return {"GET", "/v1/list?prefix=" + escape_query(prefix)};
    };
    d.watch = watch_call;
    d.instances = {"GET", "/v1/instances"};
    d.parse_object = [](const object_key& key, const http_response& r) -> object
    {
        return {key, version_header(r), r.body};
    };
    d.parse_page = [](const std::string&, const http_response& r) -> object_page
    {
        return {parse_objects(r.body, "objects", era_in(r)), ""};
    };
    d.parse_changes = [](const std::string&, const http_response& r)
    {
        return parse_objects(r.body, "changes", era_in(r));
    };
    d.parse_version = [](const http_response& r)
    {
        return r.status == 404 ? object_version() : version_header(r);
    };
    d.parse_era = era_in;
    d.parse_instances = [](const http_response& r)
    {
        return parse_instances(r.body);
    };
    return d;
}

std::unique_ptr<object_store> make_http_store(http_store_options options)
{
    return make_http_store(std::move(options), make_own_dialect());
}

} // namespace poplar::store
