// Usage messages as FlatBuffers.
#include "gateway/usage_report.hpp"

#include "wire/generated/usage_report_generated.h"

namespace poplar::gateway
{

namespace
{

namespace fb = wire::fb;

constexpr std::uint16_t message_version = 1;
/// Accounts in one datagram, some 40 bytes each with short names: larger ones
/// would be fragmented into many packets, each of which may be lost.
constexpr std::size_t max_accounts = 500;

using window_part = std::pair<policy::window_number, policy::account_counts>;

/// Windows with at most `max_accounts` accounts each.
std::vector<window_part> split(const std::vector<window_part>& windows)
{
    std::vector<window_part> parts;
    for (const auto& [window, counts] : windows)
    {
        std::size_t n = 0;
        for (const auto& it : counts)
        {
            if (n++ % max_accounts == 0)
                parts.push_back({window, {}});
            parts.back().second.insert(it);
        }
    }
    return parts;
}

std::string encode(const usage_message& message,
                   std::span<const window_part> windows)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<fb::window_counts>> rows;
    for (const auto& [window, counts] : windows)
    {
        std::vector<flatbuffers::Offset<fb::account_count>> accounts;
        for (const auto& [account, n] : counts)
            accounts.push_back(fb::Createaccount_count(
                builder, builder.CreateString(account), n));
        rows.push_back(fb::Createwindow_counts(builder, window.value,
                                               builder.CreateVector(accounts)));
    }
    const auto sender = builder.CreateString(message.sender.gateway);
    const auto vector = builder.CreateVector(rows);
    builder.Finish(
        fb::Createusage_report(
            builder, message_version, sender, message.sender.process, vector,
            message.is_holder,
            message.fixed_through ? message.fixed_through->value : 0),
        fb::usage_reportIdentifier());
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

policy::account_counts decode_counts(const fb::window_counts& in)
{
    policy::account_counts counts;
    if (!in.counts())
        return counts;
    for (const fb::account_count* it : *in.counts())
        if (it->account())
            counts[it->account()->str()] = it->requests();
    return counts;
}

} // namespace

std::vector<std::string> encode_usage(const usage_message& message)
{
    const std::vector<window_part> parts = split(message.windows);
    std::vector<std::string> datagrams;
    auto first = parts.begin();
    do
    {
        std::size_t accounts = 0;
        auto last = first;
        while (
            last != parts.end() &&
            (last == first || accounts + last->second.size() <= max_accounts))
            accounts += (last++)->second.size();
        datagrams.push_back(encode(message, {first, last}));
        first = last;
    } while (first != parts.end());
    return datagrams;
}

bool is_usage_message(std::span<const char> bytes)
{
    constexpr std::size_t min_size =
        sizeof(flatbuffers::uoffset_t) + flatbuffers::kFileIdentifierLength;
    return bytes.size() > min_size &&
           fb::usage_reportBufferHasIdentifier(bytes.data());
}

usage_message decode_usage(std::span<const char> bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!fb::Verifyusage_reportBuffer(verifier))
        throw parse_error("not a usage report");
    const fb::usage_report* in = fb::Getusage_report(data);
    if (in->version() != message_version || !in->sender())
        throw parse_error("usage report of an unknown version");
    usage_message message;
    message.sender = {in->sender()->str(), in->process()};
    message.is_holder = in->is_holder();
    if (in->fixed_through() != 0)
        message.fixed_through = policy::window_number(in->fixed_through());
    if (in->windows())
        for (const fb::window_counts* it : *in->windows())
            message.windows.emplace_back(policy::window_number(it->window()),
                                         decode_counts(*it));
    return message;
}

} // namespace poplar::gateway
