/// Objects of the stand-in platform with their versions and recent changes.
#pragma once

#include "base/ids.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace poplar::standin_platform
{

struct stored_object
{
    std::uint64_t version = 0;
    std::optional<std::string> value; ///< Absent: removed.
};

struct write_result
{
    bool written = false;
    std::uint64_t version = 0; ///< New version, or the current one.
};

class object_table
{
public:
    /// Keeps the last `history` changes for watches.
    explicit object_table(std::size_t history) : history_(history) {}

    /// Null when the object does not exist.
    const stored_object* find(const std::string& key) const;
    /// 0 when the object does not exist.
    std::uint64_t version_of(const std::string& key) const;
    /// Writes, or removes without a value, when `expected` is the current
    /// version (0: not existing).
    write_result write(const std::string& key, std::optional<std::string> value,
                       std::uint64_t expected);
    /// {"revision","objects"}.
    nlohmann::json list(const std::string& prefix) const;
    /// {"revision","changes"} in the order of versions, each key once; nothing
    /// when `after` is older than the kept changes or not yet reached.
    std::optional<nlohmann::json> changes(const std::string& prefix,
                                          std::uint64_t after) const;

    std::uint64_t revision() const
    {
        return revision_;
    }
    std::size_t size() const
    {
        return objects_.size();
    }

private:
    struct change
    {
        std::uint64_t revision;
        std::string key;
    };
    void forget_oldest();

    std::size_t history_;
    std::uint64_t revision_ = 0;
    std::uint64_t forgotten_ = 0; ///< Highest revision not kept.
    std::map<std::string, stored_object> objects_;
    std::deque<change> changes_;
};

} // namespace poplar::standin_platform
