/// Frames of the inner protocol: a fixed header, then one FlatBuffer.
#pragma once

#include "base/error.hpp"
#include "wire/generated/inner_generated.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplar::wire
{

constexpr std::uint32_t frame_magic = 0x31444c50; ///< "PLD1".
constexpr std::uint16_t lowest_protocol_version = 1;
constexpr std::uint16_t protocol_version = 1;
constexpr std::size_t max_payload_bytes = std::size_t(4) << 20;

enum class message_type : std::uint16_t
{
    hello = 1,
    heartbeat,
    open_stream,
    stream_data,
    stream_end,
    window_update,
    cancel,
    attach,
    call,
    call_result,
    load_report,
    assignment,
    demand_report,
    outcome_report,
    goaway
};

/// As it stands on the wire; all fields little-endian.
struct frame_header
{
    std::uint32_t magic;
    std::uint16_t version;
    std::uint16_t type;
    std::uint32_t length; ///< Bytes of payload that follow.
};
static_assert(sizeof(frame_header) == 12);

/// One received frame; `payload` has passed the FlatBuffers verifier.
struct frame
{
    message_type type = message_type::heartbeat;
    std::string payload;
};

enum class protocol_fault
{
    bad_magic,
    unknown_version,
    unknown_type,
    too_long,
    bad_payload
};

/// The peer broke the protocol; the connection is to be closed.
class protocol_error : public error
{
public:
    protocol_error(protocol_fault fault, const std::string& detail);

    protocol_fault fault() const
    {
        return fault_;
    }

private:
    protocol_fault fault_;
};

/// Connects each FlatBuffers table with its message type.
template <class Table>
struct message_type_of;

#define POPLAR_WIRE_MESSAGE(NAME)                                              \
    template <>                                                                \
    struct message_type_of<fb::NAME##T>                                        \
    {                                                                          \
        static constexpr message_type value = message_type::NAME;              \
        using table = fb::NAME;                                                \
    };
POPLAR_WIRE_MESSAGE(hello)
POPLAR_WIRE_MESSAGE(heartbeat)
POPLAR_WIRE_MESSAGE(open_stream)
POPLAR_WIRE_MESSAGE(stream_data)
POPLAR_WIRE_MESSAGE(stream_end)
POPLAR_WIRE_MESSAGE(window_update)
POPLAR_WIRE_MESSAGE(cancel)
POPLAR_WIRE_MESSAGE(attach)
POPLAR_WIRE_MESSAGE(call)
POPLAR_WIRE_MESSAGE(call_result)
POPLAR_WIRE_MESSAGE(load_report)
POPLAR_WIRE_MESSAGE(assignment)
POPLAR_WIRE_MESSAGE(demand_report)
POPLAR_WIRE_MESSAGE(outcome_report)
POPLAR_WIRE_MESSAGE(goaway)
#undef POPLAR_WIRE_MESSAGE

/// Appends header and payload to `out`; throws protocol_error (too_long).
void append_frame(std::string& out, message_type type,
                  std::string_view payload);

/// Serializes an object-API message as one frame.
template <class Message>
std::string encode(const Message& message)
{
    flatbuffers::FlatBufferBuilder builder(256);
    using table = typename message_type_of<Message>::table;
    builder.Finish(table::Pack(builder, &message));
    std::string out;
    append_frame(out, message_type_of<Message>::value,
                 {reinterpret_cast<const char*>(builder.GetBufferPointer()),
                  builder.GetSize()});
    return out;
}

/// Unpacks a verified payload. The caller has checked the type.
template <class Message>
Message decode(const frame& f)
{
    using table = typename message_type_of<Message>::table;
    Message message;
    flatbuffers::GetRoot<table>(f.payload.data())->UnPackTo(&message);
    return message;
}

/// Cuts a byte stream into verified frames.
class frame_reader
{
public:
    /// Adds received bytes.
    void feed(std::string_view bytes);

    /// Takes the next whole frame into `out`; false when more bytes are
    /// needed. Throws protocol_error; the reader is then of no further use.
    bool next(frame& out);

private:
    /// Frees the bytes of the frames taken; returns false.
    bool drop_consumed();

    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace poplar::wire
