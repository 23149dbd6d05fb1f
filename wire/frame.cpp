#include "wire/frame.hpp"

#include <cstring>

namespace poplar::wire
{

namespace
{

static_assert(FLATBUFFERS_LITTLEENDIAN,
              "frame headers are copied as they stand in memory");

std::string to_string(protocol_fault fault)
{
    switch (fault)
    {
    case protocol_fault::bad_magic:
        return "wrong magic number";
    case protocol_fault::unknown_version:
        return "unknown version";
    case protocol_fault::unknown_type:
        return "unknown message type";
    case protocol_fault::too_long:
        return "frame too long";
    case protocol_fault::bad_payload:
        return "payload fails verification";
    }
    return "protocol fault";
}

template <class Message>
bool verify_as(std::string_view payload)
{
    flatbuffers::Verifier verifier(
        reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size());
    using table = typename message_type_of<Message>::table;
    return verifier.VerifyBuffer<table>(nullptr);
}

using verify_function = bool (*)(std::string_view);

/// Null for a number that is no message type.
verify_function find_verifier(std::uint16_t type)
{
    switch (static_cast<message_type>(type))
    {
    case message_type::hello:
        return verify_as<fb::helloT>;
    case message_type::heartbeat:
        return verify_as<fb::heartbeatT>;
    case message_type::open_stream:
        return verify_as<fb::open_streamT>;
    case message_type::stream_data:
        return verify_as<fb::stream_dataT>;
    case message_type::stream_end:
        return verify_as<fb::stream_endT>;
    case message_type::window_update:
        return verify_as<fb::window_updateT>;
    case message_type::cancel:
        return verify_as<fb::cancelT>;
    case message_type::attach:
        return verify_as<fb::attachT>;
    case message_type::call:
        return verify_as<fb::callT>;
    case message_type::call_result:
        return verify_as<fb::call_resultT>;
    case message_type::load_report:
        return verify_as<fb::load_reportT>;
    case message_type::assignment:
        return verify_as<fb::assignmentT>;
    case message_type::demand_report:
        return verify_as<fb::demand_reportT>;
    case message_type::outcome_report:
        return verify_as<fb::outcome_reportT>;
    case message_type::goaway:
        return verify_as<fb::goawayT>;
    }
    return nullptr;
}

verify_function check_header(const frame_header& h)
{
    if (h.magic != frame_magic)
        throw protocol_error(protocol_fault::bad_magic,
                             std::to_string(h.magic));
    if (h.version < lowest_protocol_version || h.version > protocol_version)
        throw protocol_error(protocol_fault::unknown_version,
                             std::to_string(h.version));
    if (h.length > max_payload_bytes)
        throw protocol_error(protocol_fault::too_long,
                             std::to_string(h.length) + " bytes");
    const verify_function verify = find_verifier(h.type);
    if (!verify)
        throw protocol_error(protocol_fault::unknown_type,
                             std::to_string(h.type));
    return verify;
}

} // namespace

protocol_error::protocol_error(protocol_fault fault, const std::string& detail)
    : error(to_string(fault) + ": " + detail), fault_(fault)
{
}

void append_frame(std::string& out, message_type type, std::string_view payload)
{
    if (payload.size() > max_payload_bytes)
        throw protocol_error(protocol_fault::too_long,
                             std::to_string(payload.size()) + " bytes");
    // A hello must be readable by a peer of any version, since it is sent
    // before the version is agreed.
    const std::uint16_t version = type == message_type::hello
                                      ? lowest_protocol_version
                                      : protocol_version;
    const frame_header header{frame_magic, version,
                              static_cast<std::uint16_t>(type),
                              static_cast<std::uint32_t>(payload.size())};
    out.append(reinterpret_cast<const char*>(&header), sizeof header);
    out.append(payload);
}

void frame_reader::feed(std::string_view bytes)
{
    buffer_.append(bytes);
}

bool frame_reader::drop_consumed()
{
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    return false;
}

bool frame_reader::next(frame& out)
{
    const std::string_view rest = std::string_view(buffer_).substr(consumed_);
    frame_header header{};
    if (rest.size() < sizeof header)
        return drop_consumed();
    std::memcpy(&header, rest.data(), sizeof header);
    const verify_function verify = check_header(header);
    if (rest.size() - sizeof header < header.length)
        return drop_consumed();
    // The verifier checks alignment from the start of the buffer, so the
    // payload is copied before it is verified.
    out.payload.assign(rest.substr(sizeof header, header.length));
    if (!verify(out.payload))
        throw protocol_error(protocol_fault::bad_payload,
                             "type " + std::to_string(header.type));
    out.type = static_cast<message_type>(header.type);
    consumed_ += sizeof header + header.length;
    return true;
}

} // namespace poplar::wire
