#include "gateway/order_lease.hpp"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
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

order_lease::order_lease(store::object_store& store,
                         order_lease_settings settings, clock_source clock)
    : store_(store), settings_(std::move(settings)), clock_(std::move(clock)),
      process_(make_process_name())
{
}

bool order_lease::may_order() const
{
    return clock_() < valid_until_ && era_of(own_version_) == store_.era();
}

void order_lease::follow_era()
{
    const store_era present = store_.era();
    // A new process does not know when an earlier restoration took place.
    if (era_ ? *era_ != present : present > first_era)
    {
        was_restored_ = true;
        observe(object_version());
    }
    era_ = present;
}

void order_lease::observe(object_version version)
{
    observed_version_ = version;
    observed_since_ = clock_();
}

std::optional<fencing_token> order_lease::acquire()
{
    if (may_order())
        return fencing_token(own_version_.value);
    if (own_version_ != object_version() &&
        era_of(own_version_) == store_.era())
        if (const auto token = write(own_version_))
            return token;
    const store::object record = store_.get(settings_.key);
    follow_era();
    if (may_be_held(record))
        return std::nullopt;
    return write(record.version);
}

/// True while the holder of the record may still send orders. The holder's name
/// does not identify a record of this process: an earlier process of the same
/// instance used the same name.
bool order_lease::may_be_held(const store::object& record)
{
    if (record.version == object_version() && !was_restored_)
        return false;
    if (record.version != observed_version_)
        observe(record.version);
    return clock_() - observed_since_ <
           settings_.validity + settings_.handover_gap + settings_.margin;
}

std::optional<fencing_token> order_lease::write(object_version expected)
{
    const mono_time before = clock_();
    const nlohmann::json record{{"holder", settings_.holder},
                                {"process", process_},
                                {"renewals", ++renewals_}};
    own_version_ = object_version();
    const store_era era_before = store_.era();
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
