/// Contents of the objects ledger/<service>/<shard> and of their segments.
#pragma once

#include "base/ids.hpp"
#include "ledger/shards.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace poplar::ledger
{

/// Answers with a longer body are recorded as done without their content.
constexpr std::size_t max_kept_body_bytes = std::size_t(16) << 10;

/// An upstream's answer as it is given to a repeat of the call.
struct stored_answer
{
    unsigned status = 0;
    std::vector<net::header> headers;
    std::string body;
    bool body_dropped = false; ///< The body was too large to keep.
};

enum class record_state
{
    intent, ///< The call may have been sent.
    done    ///< The upstream answered.
};

/// One call in the ledger.
struct call_record
{
    call_key call;
    std::uint64_t body_digest = 0;
    std::int64_t recorded_at = 0; ///< Seconds since 1970, UTC.
    record_state state = record_state::intent;
    stored_answer answer; ///< Only with record_state::done.
};

/// A segment object that holds settled calls of the shard.
struct segment_reference
{
    std::string name;             ///< Last part of the object's key.
    std::int64_t newest_call = 0; ///< recorded_at of its newest call.
};

/// Content of ledger/<service>/<shard>.
struct shard_record
{
    owner_epoch epoch;
    store_era era;     ///< In which it was written.
    instance_id owner; ///< Empty: released, anyone may take it.
    std::string owner_address;
    std::string write_id; ///< Tells a writer its own write from another's.
    std::vector<segment_reference> segments;
    std::vector<call_record> calls;
};

/// JSON forms; the parse functions throw parse_error.
std::string to_json(const shard_record& record);
shard_record parse_shard_record(const std::string& json,
                                const service_id& service);
std::string segment_to_json(const std::vector<call_record>& calls);
std::vector<call_record> parse_segment(const std::string& json,
                                       const service_id& service);

/// Bytes that the call takes in JSON, roughly.
std::size_t json_size(const call_record& call);

object_key shard_object(const service_id& service, unsigned shard);
object_key segment_object(const service_id& service, unsigned shard,
                          const std::string& name);

/// Leaves out the body when it is too large to keep.
stored_answer make_stored_answer(unsigned status,
                                 std::vector<net::header> headers,
                                 std::string body);

} // namespace poplar::ledger
