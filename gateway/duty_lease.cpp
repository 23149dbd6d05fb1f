#include "gateway/duty_lease.hpp"

#include "base/json_text.hpp"
#include "observe/log.hpp"

#include <absl/strings/str_cat.h>
#include <random>

namespace poplar::gateway
{

namespace
{

/// Era of a store that has not been restored; 0 for one that names none.
constexpr store_era first_era{1};

std::string make_process_name()
{
    std::random_device random;
    return absl::StrCat(absl::Hex(random(), absl::kZeroPad8),
                        absl::Hex(random(), absl::kZeroPad8),
                        absl::Hex(random(), absl::kZeroPad8),
                        absl::Hex(random(), absl::kZeroPad8));
}

} // namespace

duty_lease::duty_lease(store::object_store& store, duty_lease_settings settings,
                       clock_source clock)
    : store_(store), settings_(std::move(settings)), clock_(std::move(clock)),
      process_(make_process_name())
{
}

bool duty_lease::may_act() const
{
    return clock_() < valid_until_ && era_of(own_version_) == store_.era();
}

void duty_lease::follow_era()
{
    const store_era present = store_.era();
    // A new process does not know when an earlier restoration took place.
    if (era_ ? *era_ != present : present > first_era)
    {
        restored_at_ = clock_();
        observe(object_version());
    }
    era_ = present;
}

void duty_lease::observe(object_version version)
{
    observed_version_ = version;
    observed_since_ = clock_();
}

std::optional<fencing_token> duty_lease::acquire()
{
    if (clock_() < yields_until_)
        return std::nullopt;
    if (may_act())
        return fencing_token(own_version_.value);
    if (is_holder())
        if (const auto token = write(own_version_))
            return token;
    const store::object record = store_.get(settings_.key);
    follow_era();
    read_payload(record);
    if (!is_own(record) && may_be_held(record))
        return std::nullopt;
    return write(record.version);
}

std::optional<fencing_token> duty_lease::write_payload(nlohmann::json payload)
{
    if (!is_holder() || clock_() < yields_until_)
        return std::nullopt;
    payload_ = std::move(payload);
    return write(own_version_);
}

bool duty_lease::is_holder() const
{
    return own_version_ != object_version() &&
           era_of(own_version_) == store_.era();
}

void duty_lease::yield()
{
    own_version_ = object_version();
    valid_until_ = {};
    // Another gateway begins to wait only after it has missed the holder.
    yields_until_ = clock_() + 2 * takeover_time();
}

duration duty_lease::takeover_time() const
{
    return settings_.validity + settings_.handover_gap + settings_.margin;
}

/// No other process has written since, unless the store has been restored from
/// a copy that holds this record.
bool duty_lease::is_own(const store::object& record) const
{
    if (record.value.empty() || write_era_ != store_.era())
        return false;
    try
    {
        const nlohmann::json j = parse_json(record.value);
        return j.is_object() &&
               j.value("process", nlohmann::json()) == process_;
    }
    catch (const error&)
    {
        return false; // Another writer's; read_payload has logged it.
    }
}

/// True while the holder of the record may still send orders. The holder's name
/// does not identify a record of this process: an earlier process of the same
/// instance used the same name.
bool duty_lease::may_be_held(const store::object& record)
{
    if (record.version == object_version() && !restored_at_)
        return false;
    if (record.version != observed_version_)
        observe(record.version);
    return clock_() - observed_since_ < takeover_time();
}

/// A record that cannot be read carries no payload. Its version still tells
/// whether it changes.
void duty_lease::read_payload(const store::object& record)
{
    payload_ = nullptr;
    if (record.value.empty())
        return;
    try
    {
        const nlohmann::json j = parse_json(record.value);
        if (j.is_object() && j.contains("payload"))
            payload_ = j["payload"];
    }
    catch (const parse_error& ec)
    {
        observe::log(observe::event::gateway_duty_record_unreadable,
                     {{"object", settings_.key.value}, {"reason", ec.what()}});
    }
}

std::optional<fencing_token> duty_lease::write(object_version expected)
{
    const mono_time before = clock_();
    nlohmann::json record{{"holder", settings_.holder},
                          {"process", process_},
                          {"renewals", ++renewals_}};
    if (!payload_.is_null())
        record["payload"] = payload_;
    own_version_ = object_version();
    const store_era era_before = store_.era();
    write_era_ = era_before;
    const store::put_result result =
        store_.put(settings_.key, record.dump(), expected);
    // The record of a restored store may have had the expected revision, too.
    // Without a newer revision the others have not seen the write.
    if (result.status != store::put_status::written ||
        era_of(result.version) != era_before || result.version <= expected)
        return std::nullopt;
    own_version_ = result.version;
    valid_until_ = before + settings_.validity;
    return fencing_token(own_version_.value);
}

} // namespace poplar::gateway
