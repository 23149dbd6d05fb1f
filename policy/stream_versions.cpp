#include "policy/stream_versions.hpp"

namespace poplar::policy
{

void version_history::note(const software_version& version, mono_time now)
{
    last_seen_[version] = now;
}

std::vector<software_version> version_history::recent(mono_time now) const
{
    std::vector<software_version> versions;
    for (const auto& [version, at] : last_seen_)
        if (now - at <= stream_memory)
            versions.push_back(version);
    return versions;
}

stream_origins::stream_origins(std::size_t max_streams)
    : max_streams_(max_streams)
{
}

void stream_origins::add(std::uint64_t attempt, const software_version& version,
                         mono_time now)
{
    if (!versions_.try_emplace(attempt, version).second)
        return;
    by_age_.push_back({attempt, now});
    if (by_age_.size() > max_streams_)
        discard_oldest();
}

std::optional<software_version>
stream_origins::find(std::uint64_t attempt) const
{
    const auto it = versions_.find(attempt);
    return it == versions_.end() ? std::nullopt : std::optional(it->second);
}

void stream_origins::discard_old(mono_time now)
{
    while (!by_age_.empty() && now - by_age_.front().at > stream_memory)
        discard_oldest();
}

void stream_origins::discard_oldest()
{
    versions_.erase(by_age_.front().attempt);
    by_age_.pop_front();
}

} // namespace poplar::policy
