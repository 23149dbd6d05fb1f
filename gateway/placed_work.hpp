/// Work that a request has put on an upstream, until the end of scope.
#pragma once

#include "gateway/fleet.hpp"

namespace poplar::gateway
{

class placed_work
{
public:
    placed_work(upstream_ptr u, policy::placed_load load)
        : upstream_(std::move(u)), load_(load)
    {
        upstream_->placed.own_load += load_;
    }
    ~placed_work()
    {
        end();
    }
    placed_work(const placed_work&) = delete;
    placed_work& operator=(const placed_work&) = delete;

    void end()
    {
        upstream_->placed.own_load -= load_;
        load_ = {};
    }

private:
    upstream_ptr upstream_;
    policy::placed_load load_;
};

/// A try among the open ones of its kind at an upstream, until its answer
/// begins or the scope ends.
class ordered_try
{
public:
    ordered_try(policy::stall_detector& others, std::size_t rank,
                policy::stall_detector::stall_handler on_stall)
        : others_(others), place_(others.add(rank, now(), std::move(on_stall)))
    {
    }
    ~ordered_try()
    {
        end();
    }
    ordered_try(const ordered_try&) = delete;
    ordered_try& operator=(const ordered_try&) = delete;

    void answered()
    {
        if (place_)
            others_.answered(*place_, now());
        end();
    }

private:
    void end()
    {
        if (place_)
            others_.remove(*place_);
        place_.reset();
    }

    policy::stall_detector& others_;
    std::optional<policy::stall_detector::handle> place_;
};

} // namespace poplar::gateway
