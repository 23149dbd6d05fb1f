#include "sheet/publish.hpp"

#include "base/digest.hpp"
#include "base/era_numbers.hpp"

#include <algorithm>
#include <thread>

namespace poplar::sheet
{

namespace
{

using store::put_result;
using store::put_status;
using store::store_error;
using store::store_failure;

/// Pause before the second attempt; doubles with each further one, which
/// covers 1.5 s with the default of 5 attempts.
constexpr auto first_pause = std::chrono::milliseconds(100);

bool is_passing(const store_error& ec)
{
    switch (ec.failure())
    {
    case store_failure::unavailable:
    case store_failure::rate_limited:
    case store_failure::unknown_outcome:
        return true;
    case store_failure::too_large:
    case store_failure::compacted:
    case store_failure::invalid:
        return false;
    }
    return false;
}

std::vector<past_export> extend_past(const sheet_record& replaced)
{
    std::vector<past_export> past{{replaced.generation, replaced.export_id,
                                   replaced.operator_name,
                                   replaced.exported_at}};
    past.insert(past.end(), replaced.past.begin(), replaced.past.end());
    if (past.size() > max_past_exports)
        past.resize(max_past_exports);
    return past;
}

/// One publication. Repeats only conditional updates against the version that
/// was read first, so that of all copies of the write at most one takes effect,
/// also when a delayed one arrives last.
class publication
{
public:
    publication(store::object_store& store, const publish_request& request,
                const publish_options& options)
        : store_(store), request_(request), options_(options),
          sheet_(parse_sheet(request.text, request.file))
    {
    }

    publish_result run()
    {
        const current_sheet read = read_with_attempts();
        if (const auto found = find_ours(read))
            return accepted(found->generation);
        if (request_.base && *request_.base != read.generation())
            return conflict(read);
        const std::string value = to_json(next_record(read));
        for (unsigned i = 0; i < options_.attempts; ++i)
        {
            if (i > 0)
                pause(i);
            if (auto result = try_put(value, read))
                return *result;
        }
        if (may_be_written_)
            return {publish_status::unknown, request_.export_id, {}, {}, {}};
        throw last_failure_.value_or(store_error(
            store_failure::unavailable, "the platform returns stale objects"));
    }

private:
    void pause(unsigned attempt) const
    {
        if (options_.pause)
            options_.pause(attempt);
        else
            std::this_thread::sleep_for(first_pause * (1 << (attempt - 1)));
    }

    current_sheet read_with_attempts() const
    {
        for (unsigned i = 1;; ++i)
        {
            try
            {
                return read_current(store_);
            }
            catch (const store_error& ec)
            {
                if (!is_passing(ec) || i >= options_.attempts)
                    throw;
            }
            pause(i);
        }
    }

    std::optional<past_export> find_ours(const current_sheet& read) const
    {
        return read.record ? find_export(*read.record, request_.export_id)
                           : std::nullopt;
    }

    static sheet_generation next_generation(const current_sheet& read)
    {
        return sheet_generation(next_in_era(read.generation().value, read.era));
    }

    sheet_record next_record(const current_sheet& read) const
    {
        sheet_record r;
        r.generation = next_generation(read);
        r.export_id = request_.export_id;
        r.operator_name = request_.operator_name;
        r.exported_at = request_.exported_at;
        r.text = request_.text;
        if (read.record)
            r.past = extend_past(*read.record);
        return r;
    }

    /// Returns the end of the publication, or nothing to try again.
    std::optional<publish_result> try_put(const std::string& value,
                                          const current_sheet& read)
    {
        try
        {
            const put_result put = store_.put(sheet_key, value, read.version);
            if (put.status == put_status::written)
                return accepted(next_generation(read));
        }
        catch (const store_error& ec)
        {
            if (!is_passing(ec))
                throw;
            last_failure_ = ec;
            if (ec.failure() != store_failure::unknown_outcome)
                return std::nullopt;
            may_be_written_ = true;
        }
        return read_back(read);
    }

    std::optional<publish_result> read_back(const current_sheet& before)
    {
        try
        {
            const current_sheet read = read_current(store_);
            if (const auto found = find_ours(read))
                return accepted(found->generation);
            if (read.version == before.version)
                return std::nullopt;
            return other_won(before, read);
        }
        catch (const store_error& ec)
        {
            if (!is_passing(ec))
                throw;
            last_failure_ = ec;
            return std::nullopt;
        }
    }

    /// The record names all exports since ours could have been accepted,
    /// unless more than max_past_exports followed.
    publish_result other_won(const current_sheet& before,
                             const current_sheet& read) const
    {
        const std::uint64_t since =
            read.generation().value - before.generation().value;
        if (may_be_written_ && (!read.record || since > max_past_exports))
            return {publish_status::unknown, request_.export_id, {}, {}, {}};
        return conflict(read);
    }

    publish_result accepted(sheet_generation generation) const
    {
        return {
            publish_status::accepted, request_.export_id, generation, {}, {}};
    }

    /// Empty when the current sheet was accepted by other rules and has faults
    /// by these: it cannot be compared, and its faults are not ours.
    std::vector<difference> difference_from(const current_sheet& read) const
    {
        try
        {
            return diff(read.record
                            ? parse_sheet(read.record->text, sheet_key.value)
                            : sheet(),
                        sheet_);
        }
        catch (const settings::settings_error&)
        {
            return {};
        }
    }

    publish_result conflict(const current_sheet& read) const
    {
        publish_result result{
            publish_status::conflict, request_.export_id, {}, read.record, {}};
        result.differences = difference_from(read);
        return result;
    }

    store::object_store& store_;
    const publish_request& request_;
    const publish_options& options_;
    sheet sheet_;
    bool may_be_written_ = false;
    std::optional<store_error> last_failure_;
};

} // namespace

current_sheet read_current(store::object_store& store)
{
    const store::object found = store.get(sheet_key);
    if (found.version == object_version())
        return {found.version, std::nullopt, store.era()};
    return {found.version, parse_record(found.value), era_of(found.version)};
}

std::string make_export_id()
{
    return hex(make_request_id().low);
}

std::optional<past_export> find_export(const sheet_record& record,
                                       const std::string& export_id)
{
    if (record.export_id == export_id)
        return past_export{record.generation, record.export_id,
                           record.operator_name, record.exported_at};
    const auto it =
        std::ranges::find(record.past, export_id, &past_export::export_id);
    return it == record.past.end() ? std::nullopt : std::optional(*it);
}

publish_result publish(store::object_store& store,
                       const publish_request& request,
                       const publish_options& options)
{
    return publication(store, request, options).run();
}

} // namespace poplar::sheet
