/// Software versions of upstreams, and which of them began a stream. Used by
/// gateways; takes no lock.
///
/// Upstreams of several versions may serve side by side, and a stream may go on
/// only at the version that began it.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace poplar::policy
{

/// Version of an upstream's software, as it states it.
using software_version = text_id<struct software_version_tag>;

/// Time after its start for which a caller may take up a stream again: well
/// above the longest time that callers wait for one.
inline constexpr duration stream_memory = std::chrono::seconds(60);

/// The versions of one service that may have begun a stream which a caller
/// still takes up.
class version_history
{
public:
    /// The version is in service, or may have been until now.
    void note(const software_version& version, mono_time now);
    /// Versions in service within `stream_memory`.
    std::vector<software_version> recent(mono_time now) const;

private:
    std::map<software_version, mono_time> last_seen_;
};

/// Which version began a stream, by the digest of the attempt of the caller
/// that brought its first event.
class stream_origins
{
public:
    explicit stream_origins(std::size_t max_streams = 20'000);

    /// What is known of an attempt stays: an attempt begins one stream.
    void add(std::uint64_t attempt, const software_version& version,
             mono_time now);
    std::optional<software_version> find(std::uint64_t attempt) const;
    void discard_old(mono_time now);

private:
    struct begun_stream
    {
        std::uint64_t attempt = 0;
        mono_time at{};
    };

    void discard_oldest();

    std::size_t max_streams_;
    std::map<std::uint64_t, software_version> versions_;
    std::deque<begun_stream> by_age_;
};

} // namespace poplar::policy
