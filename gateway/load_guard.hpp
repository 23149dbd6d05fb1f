/// Scope guards that account for a request's work at an upstream.
#pragma once

#include "gateway/fleet.hpp"

namespace poplar::gateway
{

/// Adds a load to the upstream's placed load until `end` or destruction.
class load_guard
{
public:
    load_guard(upstream_ptr u, policy::placed_load load)
        : upstream_(std::move(u)), load_(load)
    {
        upstream_->placed.own += load_;
    }
    ~load_guard()
    {
        end();
    }
    load_guard(const load_guard&) = delete;
    load_guard& operator=(const load_guard&) = delete;

    void end()
    {
        upstream_->placed.own -= load_;
        load_ = {};
    }

private:
    upstream_ptr upstream_;
    policy::placed_load load_;
};

/// Registers an attempt among the open attempts of its kind at an upstream
/// until its answer begins or the guard is destroyed, to detect stalled
/// attempts.
class tracked_attempt
{
public:
    tracked_attempt(policy::overtaking& tracker, std::size_t rank,
                    policy::overtaking::hook on_overtaken)
        : tracker_(tracker),
          position_(tracker.begin(rank, now(), std::move(on_overtaken)))
    {
    }
    ~tracked_attempt()
    {
        end();
    }
    tracked_attempt(const tracked_attempt&) = delete;
    tracked_attempt& operator=(const tracked_attempt&) = delete;

    void answered()
    {
        if (position_)
            tracker_.answered(*position_, now());
        end();
    }

private:
    void end()
    {
        if (position_)
            tracker_.end(*position_);
        position_.reset();
    }

    policy::overtaking& tracker_;
    std::optional<policy::overtaking::place> position_;
};

} // namespace poplar::gateway
