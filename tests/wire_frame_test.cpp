// Guards against frames read wrongly at any cut and crashes on bytes from a
// broken peer.
#include "base/error.hpp"
#include "wire/frame.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace poplar::wire
{
namespace
{

fb::stream_dataT sample_data(std::uint32_t offset, std::string text = "word ")
{
    fb::stream_dataT d;
    d.stream = 7;
    d.attempt = 1;
    d.offset = offset;
    d.tokens = 1;
    d.text = std::move(text);
    return d;
}

TEST(frame_reader, joins_frames_cut_at_every_byte)
{
    const std::string bytes = encode(sample_data(1)) +
                              encode(fb::heartbeatT()) + encode(sample_data(2));
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut)
    {
        frame_reader reader;
        frame f;
        std::vector<message_type> types;
        for (const auto& part : {bytes.substr(0, cut), bytes.substr(cut)})
        {
            reader.feed(part);
            while (reader.next(f))
                types.push_back(f.type);
        }
        EXPECT_EQ(types, (std::vector{message_type::stream_data,
                                      message_type::heartbeat,
                                      message_type::stream_data}));
        EXPECT_EQ(decode<fb::stream_dataT>(f).offset, 2U);
    }
}

struct fault_case
{
    frame_header header;
    protocol_fault expected;
};

class header_faults : public testing::TestWithParam<fault_case>
{
};

TEST_P(header_faults, are_typed)
{
    frame_reader reader;
    reader.feed({reinterpret_cast<const char*>(&GetParam().header),
                 sizeof(frame_header)});
    frame f;
    try
    {
        reader.next(f);
        FAIL() << "no fault reported";
    }
    catch (const protocol_error& ec)
    {
        EXPECT_EQ(ec.fault(), GetParam().expected) << ec.what();
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, header_faults,
    testing::Values(
        fault_case{{1, 1, 2, 0}, protocol_fault::bad_magic},
        fault_case{{frame_magic, 0, 2, 0}, protocol_fault::unknown_version},
        fault_case{{frame_magic, 2, 2, 0}, protocol_fault::unknown_version},
        fault_case{{frame_magic, 1, 0, 0}, protocol_fault::unknown_type},
        fault_case{{frame_magic, 1, 16, 0}, protocol_fault::unknown_type},
        fault_case{{frame_magic, 1, 2, 0xffffffff}, protocol_fault::too_long},
        fault_case{{frame_magic, 1, 2, 0}, protocol_fault::bad_payload}));

/// Reads all frames; false when they failed with the typed error. Any other
/// exception fails the property that calls this.
bool reads_soundly(const std::string& bytes)
{
    frame_reader reader;
    frame f;
    try
    {
        reader.feed(bytes);
        while (reader.next(f))
        {
            if (f.type == message_type::open_stream)
                decode<fb::open_streamT>(f);
            else if (f.type == message_type::call)
                decode<fb::callT>(f);
        }
    }
    catch (const protocol_error&)
    {
        return false;
    }
    return true;
}

RC_GTEST_PROP(frame_reader, survives_random_bytes, (const std::string& bytes))
{
    RC_CLASSIFY(reads_soundly(bytes));
    std::string framed;
    append_frame(framed, message_type::open_stream, bytes);
    RC_CLASSIFY(reads_soundly(framed));
}

RC_GTEST_PROP(frame_reader, survives_mutated_frames, (const std::string& text))
{
    fb::open_streamT open;
    open.request = std::make_unique<fb::request_id>(1, 2);
    open.prompt = text;
    open.kv = std::make_unique<fb::kv_sourceT>();
    fb::callT call;
    call.headers.push_back(std::make_unique<fb::header_fieldT>());
    call.path = text;
    const std::string sound = encode(open) + encode(call);
    RC_ASSERT(reads_soundly(sound));
    int unnoticed = 0;
    for (int round = 0; round < 50; ++round)
    {
        std::string bytes = sound;
        const auto changes = *rc::gen::inRange(1, 9);
        for (int i = 0; i < changes; ++i)
        {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[at] = *rc::gen::arbitrary<char>();
        }
        unnoticed += reads_soundly(bytes) ? 1 : 0;
    }
    RC_CLASSIFY(unnoticed > 0);
}

TEST(frame, refuses_too_long_payload)
{
    std::string out;
    EXPECT_THROW(append_frame(out, message_type::call,
                              std::string(max_payload_bytes + 1, 'x')),
                 protocol_error);
}

} // namespace
} // namespace poplar::wire
