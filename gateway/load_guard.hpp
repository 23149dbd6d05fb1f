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
        upstream_->placed.own_load += load_;
    }
    ~load_guard()
    {
        end();
    }
    load_guard(const load_guard&) = delete;
    load_guard& operator=(const load_guard&) = delete;

    void end()
    {
        upstream_->placed.own_load -= load_;
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
    tracked_attempt(policy::stall_detector& detector, std::size_t rank,
                    policy::stall_detector::stall_handler on_stall)
        : detector_(detector),
          handle_(detector.add(rank, now(), std::move(on_stall)))
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
        if (handle_)
            detector_.answered(*handle_, now());
        end();
    }

private:
    void end()
    {
        if (handle_)
            detector_.remove(*handle_);
        handle_.reset();
    }

    policy::stall_detector& detector_;
    std::optional<policy::stall_detector::handle> handle_;
};

} // namespace poplar::gateway
