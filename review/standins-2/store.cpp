#include "review/standins-2/store.hpp"

#include <chrono>
#include <cstdlib>

namespace review
{

namespace
{

using nlohmann::json;

const std::string json_field = "Content-Type: application/json\r\n";

std::string answer_json(unsigned status, const json& body)
{
    return answer(status, json_field, body.dump());
}

/// Value of a parameter of the query; empty if it is absent.
std::string parameter(const std::string& query, const std::string& name)
{
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos)
        return "";
    const std::string rest = query.substr(at + name.size() + 1);
    return rest.substr(0, rest.find('&'));
}

std::uint64_t number(const std::string& text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

object_store::object_store() : listener_([this](connection& c) { serve(c); }) {}

json& object_store::store(const std::string& kind, const std::string& name,
                          const json& spec)
{
    json& o = objects_[kind][name];
    const std::uint64_t created =
        o.is_null() ? revision_ + 1
                    : o["metadata"]["created"].get<std::uint64_t>();
    o = {{"metadata",
          {{"name", name},
           {"revision", ++revision_},
           {"created", created},
           {"finalizers", json::array()},
           {"deleting", false}}},
         {"spec", spec},
         {"status", nullptr}};
    events_.push_back({revision_, kind, o, false});
    changed_.notify_all();
    return o;
}

void object_store::put(const std::string& kind, const std::string& name,
                       const json& spec)
{
    const std::lock_guard lock(mutex_);
    store(kind, name, spec);
}

void object_store::serve(connection& c)
{
    while (const auto m = c.read_message())
        if (!c.send(handle(*m)))
            return;
}

std::string object_store::handle(const message& m)
{
    const std::string target = m.second_word();
    const std::string path = target.substr(0, target.find('?'));
    const std::string query =
        path.size() < target.size() ? target.substr(path.size() + 1) : "";
    const std::string prefix = "/objects/";
    if (!path.starts_with(prefix))
        return answer(404, "", "");
    const std::string rest = path.substr(prefix.size());
    const std::string kind = rest.substr(0, rest.find('/'));
    const std::string name =
        kind.size() < rest.size() ? rest.substr(kind.size() + 1) : "";
    const std::string after = parameter(query, "watch");
    if (!after.empty())
        return watch(kind, number(after),
                     int(number(parameter(query, "waitMs"))));
    if (m.method() == "GET")
        return name.empty() ? list(kind) : get(kind, name);
    if (m.method() == "DELETE")
        return remove(kind, name, number(parameter(query, "revision")));
    return write(m, kind, name);
}

std::string object_store::watch(const std::string& kind, std::uint64_t after,
                                int ms)
{
    std::unique_lock lock(mutex_);
    const auto has_event = [&]
    {
        for (const event& it : events_)
            if (it.kind == kind && it.revision > after)
                return true;
        return false;
    };
    changed_.wait_for(lock, std::chrono::milliseconds(ms),
                      [&] { return has_event(); });
    json events = json::array();
    for (const event& it : events_)
        if (it.kind == kind && it.revision > after)
            events.push_back({{"deleted", it.deleted}, {"object", it.object}});
    return answer_json(200, {{"events", events}, {"asOf", revision_}});
}

std::string object_store::list(const std::string& kind)
{
    const std::lock_guard lock(mutex_);
    json items = json::array();
    for (const auto& [name, o] : objects_[kind])
        items.push_back(o);
    return answer_json(
        200, {{"items", items}, {"hasMore", false}, {"asOf", revision_}});
}

std::string object_store::get(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(mutex_);
    const auto it = objects_[kind].find(name);
    return it == objects_[kind].end() ? answer(404, "", "")
                                      : answer_json(200, it->second);
}

std::string object_store::write(const message& m, const std::string& kind,
                                std::string name)
{
    const json body = json::parse(m.body);
    const bool creates = m.method() == "POST";
    if (creates)
        name = body["metadata"]["name"].get<std::string>();
    const std::lock_guard lock(mutex_);
    const auto it = objects_[kind].find(name);
    const bool exists = it != objects_[kind].end();
    if (!creates && !exists)
        return answer(404, "", "");
    const bool is_expected = creates
                                 ? !exists
                                 : !body["metadata"].contains("revision") ||
                                       body["metadata"]["revision"] ==
                                           it->second["metadata"]["revision"];
    if (!is_expected)
        return answer_json(409, it->second);
    const json& o = store(kind, name, body["spec"]);
    return answer_json(creates ? 201 : 200, o);
}

std::string object_store::remove(const std::string& kind,
                                 const std::string& name,
                                 std::uint64_t expected)
{
    const std::lock_guard lock(mutex_);
    const auto it = objects_[kind].find(name);
    if (it == objects_[kind].end())
        return answer(404, "", "");
    if (expected != 0 && it->second["metadata"]["revision"] != expected)
        return answer_json(409, it->second);
    json o = it->second;
    o["metadata"]["revision"] = ++revision_;
    objects_[kind].erase(it);
    events_.push_back({revision_, kind, o, true});
    changed_.notify_all();
    return answer_json(200, o);
}

} // namespace review
