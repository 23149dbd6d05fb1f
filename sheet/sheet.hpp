/// The sheet: what planners want to run. Parsed from TOML, checked whole.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "base/units.hpp"
#include "settings/reader.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace poplar::sheet
{

enum class engine_role
{
    unassigned,
    prefill,
    decode,
    mixed
};

enum class upstream_state
{
    active,
    draining, ///< No new work; open work ends.
    withdrawn ///< As draining, and the instance is expected to go away.
};

enum class role_policy
{
    automatic, ///< The planner follows the mix.
    all_mixed, ///< Every engine does prefill and decode.
    fixed      ///< `prefill_engines` of the group prefill, the rest decode.
};

/// A class of work. Ranks stand in the sheet from most to least urgent.
struct rank
{
    std::string name;
    duration first_token_target{};    ///< Target for 95 in 100 requests.
    duration token_interval_target{}; ///< Target for 95 in 100 intervals.
    double guaranteed_share = 0;      ///< Of the fleet; sum over ranks <= 1.
    double worth = 1;        ///< Relative worth of one token served on target.
    int engine_priority = 0; ///< Passed to the engine; higher goes first.
};

/// Engines that serve one model.
struct engine_group
{
    group_id name;
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters;
    bool checks_fencing = false; ///< The engines refuse old fencing tokens.
    role_policy roles = role_policy::automatic;
    unsigned prefill_engines = 0;      ///< With role_policy::fixed.
    token_count split_threshold{2048}; ///< Longer prompts use prefill engines.
    unsigned max_changing = 1;         ///< Engines changed at the same time.
};

/// A call that must run at most once.
struct once_call
{
    std::string method;
    std::string path_prefix; ///< Matches whole path segments.
};

/// A plain service.
struct service
{
    service_id name; ///< Also the group of its instances.
    std::vector<once_call> once;
    bool checks_fencing = false;
    duration timeout{std::chrono::seconds(10)}; ///< For one call.
};

struct tenant
{
    tenant_id name;
    double weight = 1;            ///< Share among tenants of the same rank.
    std::string rank;             ///< Default rank; empty: the least urgent.
    std::string most_urgent_rank; ///< Requests above it are refused; empty: no
                                  ///< limit.
};

struct sheet
{
    std::vector<rank> ranks;
    std::vector<engine_group> groups;
    std::vector<service> services;
    std::vector<tenant> tenants; ///< Tenants not listed have weight 1.
    std::vector<instance_id> drained;
    std::vector<instance_id> withdrawn;
};

/// Parses and checks a whole sheet; throws settings::settings_error with every
/// fault. `file` names the source in faults.
sheet parse_sheet(const std::string& text, const std::string& file);

/// Longest sheet text: as JSON, with the record around it, it stays below the
/// 1 MB that the platform allows for a value.
constexpr std::size_t max_sheet_bytes = std::size_t(512) << 10;

/// An export that was accepted and has been replaced by a later one.
struct past_export
{
    sheet_generation generation;
    std::string export_id;
    std::string operator_name;
    std::int64_t exported_at = 0; ///< Seconds since 1970, UTC.

    auto operator<=>(const past_export&) const = default;
};

/// Replaced exports kept in the record. They answer whether an export whose
/// response was lost had been accepted before a later one replaced it; 64
/// need about 8 KiB of the object.
constexpr std::size_t max_past_exports = 64;

/// The object sheet/current.
struct sheet_record
{
    sheet_generation generation;
    std::string export_id;
    std::string operator_name;
    std::int64_t exported_at = 0; ///< Seconds since 1970, UTC.
    std::string text;
    std::vector<past_export> past; ///< Newest first.

    bool operator==(const sheet_record&) const = default;
};

/// JSON of the object, with a digest of the text. parse_record throws
/// parse_error, also when the digest does not match the text.
std::string to_json(const sheet_record& record);
sheet_record parse_record(const std::string& json);

inline const object_key sheet_key{"sheet/current"};

/// State that the sheet asks of an instance.
upstream_state state_of(const sheet& s, const instance_id& instance);

/// True when the sheet declares the call as at most once. Compares as a lenient
/// service might: percent-encoding, letter case, empty, "." and ".." segments,
/// path parameters (";...") and a query do not hide a call. A path that may be
/// read in two ways counts as at most once when one of them is.
bool is_once(const service& s, const std::string& method,
             const std::string& path);

std::string to_string(engine_role role);
std::string to_string(upstream_state state);
std::string to_string(role_policy policy);

const engine_group* find_group(const sheet& s, const group_id& name);
const service* find_service(const sheet& s, const service_id& name);

} // namespace poplar::sheet
