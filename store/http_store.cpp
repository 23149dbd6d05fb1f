#include "base/digest.hpp"
#include "net/http_client.hpp"
#include "observe/log.hpp"
#include "store/dialect.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <algorithm>
#include <atomic>
#include <set>

namespace poplar::store
{

namespace
{

using net::client_failure;
using net::client_request;
using net::client_result;
using net::http_response;
using observe::event;

/// Unreadable entries that are remembered as logged; bounds the memory.
constexpr std::size_t max_logged_entries = 10'000;

enum class call_kind
{
    read,
    write
};

/// Failure of an exchange without a response. After a break or a timeout the
/// platform may have carried the request out.
store_failure failure_of(client_failure failure, call_kind kind)
{
    if (kind == call_kind::read || failure == client_failure::not_connected)
        return store_failure::unavailable;
    return store_failure::unknown_outcome;
}

/// Failure that a status other than 200, 201, 404 and 409 stands for. The API
/// gives 429 and 503 before a write; of other server errors that is not known.
store_failure failure_of(unsigned status, call_kind kind)
{
    switch (status)
    {
    case 410:
        return store_failure::compacted;
    case 413:
        return store_failure::too_large;
    case 429:
        return store_failure::rate_limited;
    case 503:
        return store_failure::unavailable;
    default:
        break;
    }
    if (status < 500)
        return store_failure::invalid;
    return kind == call_kind::read ? store_failure::unavailable
                                   : store_failure::unknown_outcome;
}

/// Returns the response of a finished exchange, or throws store_error.
http_response response_of(client_result result, call_kind kind,
                          const std::string& what)
{
    if (result.failure != client_failure::none)
        throw store_error(failure_of(result.failure, kind),
                          what + ": " + to_string(result.failure) + " " +
                              result.detail);
    const unsigned status = result.response.status;
    if (status == 200 || status == 201 || status == 404 || status == 409)
        return std::move(result.response);
    throw store_error(failure_of(status, kind),
                      what + ": status " + std::to_string(status));
}

/// Runs a parse hook. When the answer to a write cannot be read, it is not
/// known what happened.
template <class Parse>
auto parse_answer(call_kind kind, Parse&& parse)
{
    try
    {
        return parse();
    }
    catch (const parse_error& ec)
    {
        throw store_error(kind == call_kind::read
                              ? store_failure::invalid
                              : store_failure::unknown_outcome,
                          ec.what());
    }
}

http_response found(http_response response)
{
    if (response.status != 200)
        throw store_error(store_failure::invalid,
                          "status " + std::to_string(response.status));
    return response;
}

class http_store : public object_store
{
public:
    http_store(http_store_options options, store_dialect dialect)
        : options_(std::move(options)), dialect_(std::move(dialect))
    {
    }

    object get(const object_key& key) override
    {
        const http_response r = read(dialect_.get(key));
        if (r.status == 404)
            return {key, object_version(), ""};
        return parse_answer(call_kind::read,
                            [&] { return dialect_.parse_object(key, r); });
    }

    put_result put(const object_key& key, const std::string& value,
                   object_version expected) override
    {
        if (value.size() > max_value_bytes)
            throw store_error(store_failure::too_large, key.value);
        if (is_of_earlier_era(expected))
            return {put_status::conflict, get(key).version};
        return write(dialect_.put(key, value, expected));
    }

    put_result remove(const object_key& key, object_version expected) override
    {
        if (is_of_earlier_era(expected))
            return {put_status::conflict, get(key).version};
        return write(dialect_.remove(key, expected));
    }

    object_list list(const std::string& prefix) override;
    object_list watch(const std::string& prefix, object_version after,
                      duration timeout) override;
    std::vector<instance_record> instances() override
    {
        const http_response r = found(read(dialect_.instances));
        instance_list list = parse_answer(
            call_kind::read, [&] { return dialect_.parse_instances(r); });
        log_unreadable("instances", list.unreadable);
        return std::move(list.records);
    }

    void stop_watches() override;

    store_era era() const override
    {
        return store_era(era_);
    }

private:
    client_request make_request(store_call call) const
    {
        client_request request;
        request.method = std::move(call.method);
        request.to = options_.address;
        request.path = std::move(call.path);
        request.headers = std::move(call.headers);
        request.body = std::move(call.body);
        request.timeout = options_.timeout;
        request.ends_when_silent = true;
        return request;
    }

    http_response read(store_call call)
    {
        const std::string what = call.method + " " + call.path;
        client_result result = client_.fetch(make_request(std::move(call)));
        note_era(result, call_kind::read);
        return response_of(std::move(result), call_kind::read, what);
    }

    store_era note_era(const client_result& result, call_kind kind);
    /// The store may have given out the revision of such a version again.
    bool is_of_earlier_era(object_version version) const
    {
        return version != object_version() && era_of(version) != era();
    }

    put_result write(store_call call);
    void log_unreadable(const std::string& where,
                        const std::vector<unreadable_entry>& entries);

    const http_store_options options_;
    const store_dialect dialect_;
    std::atomic<std::uint64_t> era_ = 0;
    absl::Mutex mutex_;
    bool watches_stopped_ ABSL_GUARDED_BY(mutex_) = false;
    std::set<net::exchange_number> watches_ ABSL_GUARDED_BY(mutex_);
    /// Digests of the unreadable entries that were logged.
    std::set<std::uint64_t> logged_ ABSL_GUARDED_BY(mutex_);
    net::http_client client_; ///< Last: its hooks end before the rest goes.
};

/// Writes open a new connection. On a kept one the HTTP library may send the
/// request again after a break, and the second copy of a write that took
/// effect would be answered as a conflict.
put_result http_store::write(store_call call)
{
    const std::string what = call.method + " " + call.path;
    client_request request = make_request(std::move(call));
    request.fresh_connection = true;
    client_result result = client_.fetch(std::move(request));
    note_era(result, call_kind::write);
    const http_response r =
        response_of(std::move(result), call_kind::write, what);
    const bool is_written = r.status == 200 || r.status == 201;
    return {is_written ? put_status::written : put_status::conflict,
            parse_answer(call_kind::write,
                         [&] { return dialect_.parse_version(r); })};
}

/// Answers of an earlier era may arrive late, on another connection.
store_era http_store::note_era(const client_result& result, call_kind kind)
{
    if (result.failure != client_failure::none || !dialect_.parse_era)
        return era();
    const store_era named =
        parse_answer(kind, [&] { return dialect_.parse_era(result.response); });
    std::uint64_t known = era_;
    while (known < named.value &&
           !era_.compare_exchange_weak(known, named.value))
        continue;
    if (known != 0 && known < named.value)
        observe::log(event::platform_store_restored,
                     {{"era", named.value}, {"before", known}});
    return named;
}

/// The revision is that of the first page: changes made while the others were
/// read are seen again by a watch from there.
object_list http_store::list(const std::string& prefix)
{
    object_list all;
    std::string after;
    do
    {
        const http_response r = found(read(dialect_.list(prefix, after)));
        object_page page = parse_answer(
            call_kind::read, [&] { return dialect_.parse_page(prefix, r); });
        if (after.empty())
            all.revision = page.list.revision;
        else if (era_of(page.list.revision) != era_of(all.revision))
            throw store_error(store_failure::compacted,
                              prefix + ": restored between two pages");
        log_unreadable(prefix, page.list.unreadable);
        std::ranges::move(page.list.objects, std::back_inserter(all.objects));
        after = std::move(page.next);
    } while (!after.empty());
    return all;
}

object_list http_store::watch(const std::string& prefix, object_version after,
                              duration timeout)
{
    store_call call = dialect_.watch(prefix, after, timeout);
    const std::string what = call.method + " " + call.path;
    client_request request = make_request(std::move(call));
    // A large answer takes longer than the margin on a slow link; it counts as
    // overdue only when no byte of it has come.
    request.idle_timeout =
        timeout + std::min(options_.timeout, options_.watch_margin);
    request.timeout = timeout + options_.timeout;
    client_result result;
    absl::Notification done;
    const auto keep = [&](client_result r)
    {
        result = std::move(r);
        done.Notify();
    };
    net::exchange_number exchange = 0;
    {
        absl::MutexLock lock(&mutex_);
        if (watches_stopped_)
            throw watches_stopped();
        exchange = client_.start(std::move(request), {nullptr, keep});
        watches_.insert(exchange);
    }
    done.WaitForNotification();
    {
        absl::MutexLock lock(&mutex_);
        watches_.erase(exchange);
        if (watches_stopped_)
            throw watches_stopped();
    }
    const store_era answered = note_era(result, call_kind::read);
    const http_response r =
        found(response_of(std::move(result), call_kind::read, what));
    // A restored store may have given out the revision again: its answer then
    // lacks the changes up to there.
    if (answered != era_of(after))
        throw store_error(store_failure::compacted, what + ": restored");
    object_list changes = parse_answer(
        call_kind::read, [&] { return dialect_.parse_changes(prefix, r); });
    log_unreadable(prefix, changes.unreadable);
    return changes;
}

/// An entry is logged once, though lists are read and entries written again and
/// again.
void http_store::log_unreadable(const std::string& where,
                                const std::vector<unreadable_entry>& entries)
{
    absl::MutexLock lock(&mutex_);
    for (const unreadable_entry& it : entries)
    {
        if (logged_.size() >= max_logged_entries)
            logged_.clear();
        if (logged_.insert(digest(it.reason, digest(where + it.name))).second)
            observe::log(event::platform_entry_unreadable,
                         {{"list", where},
                          {"entry", excerpt(it.name)},
                          {"reason", it.reason}});
    }
}

void http_store::stop_watches()
{
    absl::MutexLock lock(&mutex_);
    watches_stopped_ = true;
    for (const net::exchange_number it : watches_)
        client_.cancel(it);
}

} // namespace

std::unique_ptr<object_store> make_http_store(http_store_options options,
                                              store_dialect dialect)
{
    return std::make_unique<http_store>(std::move(options), std::move(dialect));
}

} // namespace poplar::store
