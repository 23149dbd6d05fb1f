// Stand-in of the platform's store: objects by kind and name with a revision
// counter, conditional writes and long-poll watches. A write that changes
// nothing raises no revision and makes no event.
#include "base/time.hpp"
#include "net/http_server.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace
{

using nlohmann::json;
using poplar::duration;
using poplar::mono_time;
using poplar::net::http_request;
using poplar::net::http_response;
using poplar::net::responder_ptr;

constexpr std::size_t page_size = 500;
constexpr duration check_interval = std::chrono::milliseconds(5);
constexpr std::string_view base_path = "/objects/";

struct object_name
{
    std::string kind;
    std::string name;

    auto operator<=>(const object_name&) const = default;
};

struct change
{
    object_name of;
    std::uint64_t revision = 0;
    json event;
};

struct waiting_watch
{
    std::string kind;
    std::uint64_t after = 0;
    mono_time until;
    responder_ptr out;
};

class object_store
{
public:
    void handle(const http_request& request, const responder_ptr& out);
    /// Answers the watches whose time has passed.
    void end_overdue();

private:
    http_response read(const http_request& request, const object_name& at);
    http_response list(const http_request& request, const std::string& kind);
    http_response write(const http_request& request, object_name at);
    http_response remove(const http_request& request, const object_name& at);
    void watch(const http_request& request, const std::string& kind,
               const responder_ptr& out);
    void note_change(const object_name& of, const json& object, bool deleted);
    http_response changes(const std::string& kind, std::uint64_t after) const;
    bool has_changes(const waiting_watch& w) const;
    void answer_watches();

    std::mutex mutex_;
    std::uint64_t revision_ = 1;
    std::map<object_name, json> objects_;
    std::vector<change> history_;
    std::vector<waiting_watch> watches_;
};

std::uint64_t number(const http_request& request, const char* name)
{
    return std::stoull(poplar::net::query_value(request, name, "0"));
}

bool has_parameter(const http_request& request, const char* name)
{
    return !poplar::net::query_value(request, name, "").empty();
}

object_name name_in(const std::string& path)
{
    if (!path.starts_with(base_path))
        return {};
    const std::string rest = path.substr(base_path.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string::npos)
        return {rest, ""};
    return {rest.substr(0, slash), rest.substr(slash + 1)};
}

http_response answer(unsigned status, const json& body)
{
    return poplar::net::json_response(status, body.dump());
}

void object_store::handle(const http_request& request, const responder_ptr& out)
{
    const std::lock_guard lock(mutex_);
    try
    {
        const object_name at = name_in(request.path);
        if (has_parameter(request, "watch"))
            return watch(request, at.kind, out);
        if (request.method == "GET")
            out->respond(read(request, at));
        else if (request.method == "DELETE")
            out->respond(remove(request, at));
        else
            out->respond(write(request, at));
        answer_watches();
    }
    catch (const std::exception& ec)
    {
        out->respond(answer(400, {{"error", ec.what()}}));
    }
}

http_response object_store::read(const http_request& request,
                                 const object_name& at)
{
    if (at.name.empty())
        return list(request, at.kind);
    const auto it = objects_.find(at);
    return it == objects_.end() ? answer(404, json::object())
                                : answer(200, it->second);
}

http_response object_store::list(const http_request& request,
                                 const std::string& kind)
{
    const std::string after = poplar::net::query_value(request, "after", "");
    json items = json::array();
    bool has_more = false;
    for (const auto& [of, object] : objects_)
    {
        if (of.kind != kind || of.name <= after)
            continue;
        has_more = items.size() == page_size;
        if (has_more)
            break;
        items.push_back(object);
    }
    return answer(
        200, {{"items", items}, {"hasMore", has_more}, {"asOf", revision_}});
}

http_response object_store::write(const http_request& request, object_name at)
{
    const json body = json::parse(request.body);
    const json& metadata = body.at("metadata");
    const bool creates = request.method == "POST";
    if (creates)
        at.name = metadata.at("name").get<std::string>();
    const auto found = objects_.find(at);
    if (creates && found != objects_.end())
        return answer(409, found->second);
    if (!creates && found == objects_.end())
        return answer(404, json::object());
    json object = creates ? json{{"metadata",
                                  {{"name", at.name},
                                   {"created", revision_ + 1},
                                   {"finalizers", json::array()},
                                   {"deleting", false}}},
                                 {"spec", json::object()},
                                 {"status", json::object()}}
                          : found->second;
    if (!creates && metadata.contains("revision") &&
        metadata["revision"] != object["metadata"]["revision"])
        return answer(409, object);
    if (!creates && object["spec"] == body.at("spec"))
        return answer(200, object);
    object["spec"] = body.at("spec");
    object["metadata"]["revision"] = ++revision_;
    objects_[at] = object;
    note_change(at, object, false);
    return answer(creates ? 201 : 200, object);
}

http_response object_store::remove(const http_request& request,
                                   const object_name& at)
{
    const auto found = objects_.find(at);
    if (found == objects_.end())
        return answer(404, json::object());
    json object = found->second;
    if (has_parameter(request, "revision") &&
        object["metadata"]["revision"] != number(request, "revision"))
        return answer(409, object);
    objects_.erase(found);
    object["metadata"]["revision"] = ++revision_;
    note_change(at, object, true);
    return answer(200, object);
}

void object_store::note_change(const object_name& of, const json& object,
                               bool deleted)
{
    history_.push_back(
        {of, revision_, {{"object", object}, {"deleted", deleted}}});
}

http_response object_store::changes(const std::string& kind,
                                    std::uint64_t after) const
{
    json events = json::array();
    for (const change& it : history_)
        if (it.of.kind == kind && it.revision > after)
            events.push_back(it.event);
    return answer(200, {{"events", events}, {"asOf", revision_}});
}

bool object_store::has_changes(const waiting_watch& w) const
{
    return std::ranges::any_of(
        history_, [&](const change& it)
        { return it.of.kind == w.kind && it.revision > w.after; });
}

void object_store::watch(const http_request& request, const std::string& kind,
                         const responder_ptr& out)
{
    const waiting_watch w{
        kind, number(request, "watch"),
        poplar::now() + std::chrono::milliseconds(number(request, "waitMs")),
        out};
    if (has_changes(w))
        return out->respond(changes(w.kind, w.after));
    watches_.push_back(w);
}

void object_store::answer_watches()
{
    std::erase_if(watches_,
                  [this](const waiting_watch& it)
                  {
                      if (!has_changes(it))
                          return false;
                      it.out->respond(changes(it.kind, it.after));
                      return true;
                  });
}

void object_store::end_overdue()
{
    const std::lock_guard lock(mutex_);
    const mono_time at = poplar::now();
    std::erase_if(watches_,
                  [&](const waiting_watch& it)
                  {
                      if (at < it.until)
                          return false;
                      it.out->respond(changes(it.kind, it.after));
                      return true;
                  });
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        std::cerr << "usage: review-store ADDRESS:PORT\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    object_store store;
    const poplar::net::http_server server(
        {.listen = poplar::parse_ip_address(argv[1])},
        [&](const http_request& request, const responder_ptr& out)
        { store.handle(request, out); });
    std::cout << poplar::to_string(server.address()) << std::endl;
    while (true)
    {
        std::this_thread::sleep_for(check_interval);
        store.end_overdue();
    }
}
