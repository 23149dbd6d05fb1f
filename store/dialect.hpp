/// How the calls of object_store look in one HTTP API.
#pragma once

#include "net/http_server.hpp"
#include "store/object_store.hpp"

#include <functional>
#include <string>
#include <vector>

namespace poplar::store
{

struct store_call
{
    std::string method = "GET";
    std::string path; ///< With query.
    std::vector<net::header> headers;
    std::string body;
};

struct object_page
{
    object_list list;
    /// Where the next page begins; empty after the last one.
    std::string next;
};

struct instance_list
{
    std::vector<instance_record> records;
    std::vector<unreadable_entry> unreadable;
};

/// The parse hooks throw parse_error for an answer that cannot be read. One
/// row that cannot be read costs that row only: in a list it is left out, in
/// changes its object counts as removed.
struct store_dialect
{
    std::function<store_call(const object_key&)> get;
    /// Writes when the current version is `expected` (0: not existing).
    std::function<store_call(const object_key&, const std::string& value,
                             object_version expected)>
        put;
    std::function<store_call(const object_key&, object_version expected)>
        remove;
    /// `after` is empty for the first page, else `next` of the last one.
    std::function<store_call(const std::string& prefix,
                             const std::string& after)>
        list;
    std::function<store_call(const std::string& prefix, object_version after,
                             duration timeout)>
        watch;
    store_call instances;

    std::function<object(const object_key&, const net::http_response&)>
        parse_object;
    std::function<object_page(const std::string& prefix,
                              const net::http_response&)>
        parse_page;
    std::function<object_list(const std::string& prefix,
                              const net::http_response&)>
        parse_changes;
    /// Version after a write, or the present one after a conflict; 0 when the
    /// object does not exist.
    std::function<object_version(const net::http_response&)> parse_version;
    std::function<instance_list(const net::http_response&)> parse_instances;
    /// The era that an answer of any status names; 0 when it names none.
    std::function<store_era(const net::http_response&)> parse_era;
};

/// The project's own object API (docs/design.md, section 9).
store_dialect make_own_dialect();

/// An object API in another dialect.
std::unique_ptr<object_store> make_http_store(http_store_options options,
                                              store_dialect dialect);

} // namespace poplar::store
