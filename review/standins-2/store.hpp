/// Stand-in for the platform's object store.
#pragma once

#include "review/standins-2/http.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review
{

class object_store
{
public:
    object_store();

    std::string address() const
    {
        return listener_.address();
    }
    /// Creates or replaces an object, as the operator and the workers do.
    void put(const std::string& kind, const std::string& name,
             const nlohmann::json& spec);

private:
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };

    void serve(connection& c);
    std::string handle(const message& m);
    std::string watch(const std::string& kind, std::uint64_t after, int ms);
    std::string list(const std::string& kind);
    std::string get(const std::string& kind, const std::string& name);
    std::string write(const message& m, const std::string& kind,
                      std::string name);
    std::string remove(const std::string& kind, const std::string& name,
                       std::uint64_t expected);
    nlohmann::json& store(const std::string& kind, const std::string& name,
                          const nlohmann::json& spec);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
    std::vector<event> events_;
    listener listener_;
};

} // namespace review
