#include "load/request_source.hpp"

#include "base/digest.hpp"

#include <algorithm>
#include <cmath>

namespace poplar::load
{

namespace
{

constexpr std::size_t word_letters = 5;

std::string word(std::uint64_t value)
{
    return hex(value).substr(0, word_letters);
}

void append_word(std::string& text, const std::string& added)
{
    text += text.empty() ? "" : " ";
    text += added;
}

} // namespace

std::string shared_prefix(const std::string& class_name, std::uint32_t index,
                          std::uint32_t tokens)
{
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i)
        append_word(text, word(digest(class_name + "/" + std::to_string(index) +
                                      "/" + std::to_string(i))));
    return text;
}

request_source::request_source(const work_class& c, std::uint64_t seed)
    : class_(c), seed_(digest(c.name, seed)), random_(seed_)
{
}

std::uint32_t request_source::next_length(const length_distribution& d)
{
    double n = d.median;
    if (d.spread > 0)
        n = std::lognormal_distribution<double>(std::log(d.median),
                                                d.spread)(random_);
    // Longer ones would only repeat the limits of the entry.
    return static_cast<std::uint32_t>(
        std::clamp(std::round(n), 1.0, d.median * 20));
}

chat_work request_source::next_chat()
{
    chat_work work;
    const std::uint32_t tokens = next_length(class_.prompt);
    work.output_tokens = next_length(class_.output);
    work.max_tokens =
        class_.max_tokens > 0 ? class_.max_tokens : work.output_tokens;
    work.output_tokens = std::min(work.output_tokens, work.max_tokens);
    const auto prefix = static_cast<std::uint32_t>(random_() % class_.prefixes);
    work.prompt = shared_prefix(class_.name, prefix,
                                std::min(class_.shared_prefix, tokens));
    // The last word tells the stand-in engine how long the answer is.
    for (std::uint32_t i = class_.shared_prefix; i + 1 < tokens; ++i)
        append_word(work.prompt, word(random_()));
    append_word(work.prompt, "answer:" + std::to_string(work.output_tokens));
    return work;
}

std::string request_source::next_key()
{
    return class_.name + "-" + hex(seed_) + "-" + std::to_string(++made_);
}

bool request_source::next_repeats()
{
    return std::bernoulli_distribution(class_.repeat_rate)(random_);
}

duration request_source::next_gap()
{
    const double s =
        std::exponential_distribution<double>(class_.rate)(random_);
    return duration(static_cast<std::int64_t>(s * 1e6));
}

} // namespace poplar::load
