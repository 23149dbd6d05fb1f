/// Work that a request has put on an upstream, until the end of scope.
#pragma once

#include "gateway/fleet.hpp"

namespace poplar::gateway
{

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

/// A try among the open ones of its kind at an upstream, until its answer
/// begins or the scope ends.
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
