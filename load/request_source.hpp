/// Makes the requests of a class of work from a seed.
#pragma once

#include "load/workload.hpp"

#include <random>

namespace poplar::load
{

struct chat_work
{
    std::string prompt;
    std::uint32_t max_tokens = 0;
    std::uint32_t output_tokens = 0; ///< Expected length of the answer.
};

class request_source
{
public:
    request_source(const work_class& c, std::uint64_t seed);

    chat_work next_chat();
    std::string next_key();
    bool next_repeats();
    /// Time to the next arrival; only with a rate.
    duration next_gap();

private:
    std::uint32_t next_length(const length_distribution& d);

    const work_class& class_;
    const std::uint64_t seed_;
    std::mt19937_64 random_;
    std::uint64_t made_ = 0;
};

/// The words of shared prefix number `index`.
std::string shared_prefix(const std::string& class_name, std::uint32_t index,
                          std::uint32_t tokens);

} // namespace poplar::load
