#include "gateway/stream_origin_message.hpp"

#include "base/error.hpp"
#include "wire/generated/stream_origin_generated.h"

namespace poplar::gateway
{

namespace
{

namespace fb = wire::fb;

constexpr std::uint16_t message_version = 1;

} // namespace

bool is_stream_origin_message(std::span<const char> bytes)
{
    constexpr std::size_t min_size =
        sizeof(flatbuffers::uoffset_t) + flatbuffers::kFileIdentifierLength;
    return bytes.size() > min_size &&
           fb::stream_originBufferHasIdentifier(bytes.data());
}

std::string encode_stream_origin(const stream_origin_message& message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto version =
        message.version ? builder.CreateString(message.version->value) : 0;
    fb::Finishstream_originBuffer(
        builder,
        fb::Createstream_origin(builder, message_version, message.attempt,
                                version, message.asks));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

stream_origin_message decode_stream_origin(std::span<const char> bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!fb::Verifystream_originBuffer(verifier))
        throw parse_error("not a stream origin message");
    const fb::stream_origin* in = fb::Getstream_origin(data);
    if (in->version() != message_version)
        throw parse_error("stream origin message of an unknown version");
    stream_origin_message message;
    message.attempt = in->attempt();
    message.asks = in->asks();
    if (in->software_version())
        message.version.emplace(in->software_version()->str());
    return message;
}

} // namespace poplar::gateway
