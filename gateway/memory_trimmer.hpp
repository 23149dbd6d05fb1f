/// Returns freed memory to the operating system.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <optional>

namespace poplar::gateway
{

/// Has large buffers returned as soon as they are freed. Otherwise the
/// allocator keeps buffers of the size of a body after the first one was freed.
/// To be called before threads start.
void configure_allocator();

/// Returns small pieces that the allocator keeps, when the resident memory has
/// grown. Used on one thread.
class memory_trimmer
{
public:
    /// To be called periodically.
    void sweep(mono_time now);

private:
    mono_time checked_{};
    /// Lowest resident memory after a return, in bytes.
    std::optional<std::size_t> lowest_;
};

} // namespace poplar::gateway
