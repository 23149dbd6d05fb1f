/// Gateways with the scaling duty on a common clock, and a fake of the
/// platform's API that checks the rules of holders.
#pragma once

#include "gateway/scaling_duty.hpp"
#include "store/memory_store.hpp"

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace poplar::gateway
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What the platform's API does with the next calls.
enum class api_fault
{
    none,
    lost_answer, ///< The order is carried out.
    unreachable,
    rate_limited,
    refused_order ///< The order of the first service only.
};

const service_id first_service("s0");

/// The platform's API. Throws std::logic_error where a rule is broken.
class fake_api
{
public:
    using subject = std::pair<std::string, std::string>;

    net::client_result call(const platform::duty_credentials& by,
                            const platform::scale_order& order, int process,
                            mono_time now)
    {
        times.push_back(now);
        net::client_result result;
        result.response.status = 200;
        check(by, order, process, now);
        if (fault == api_fault::unreachable)
            result.failure = net::client_failure::timed_out;
        if (fault == api_fault::rate_limited)
            result.response.status = 429;
        if (fault == api_fault::refused_order && order.service == first_service)
            result.response.status = 400;
        if (fault == api_fault::none || fault == api_fault::lost_answer ||
            (fault == api_fault::refused_order &&
             order.service != first_service))
            numbers[{order.service.value, order.failure_domain.value}] =
                order.wanted;
        if (fault == api_fault::lost_answer)
            result.failure = net::client_failure::broken;
        return result;
    }

    api_fault fault = api_fault::none;
    std::map<subject, unsigned> numbers;
    std::vector<mono_time> times; ///< Of all calls.

private:
    struct last_call
    {
        std::uint64_t token = 0;
        int process = -1;
        mono_time at{};
    };

    void check(const platform::duty_credentials& by,
               const platform::scale_order& order, int process, mono_time now)
    {
        last_call& last =
            last_[{order.service.value, order.failure_domain.value}];
        if (by.fencing.value < last.token)
            throw std::logic_error("the fencing token fell");
        if (last.process >= 0 && last.process != process)
        {
            if (by.fencing.value == last.token)
                throw std::logic_error("two holders used one token");
            if (now - last.at < seconds(3))
                throw std::logic_error("two holders acted in turn");
        }
        last = {by.fencing.value, process, now};
    }

    std::map<subject, last_call> last_;
};

/// A store that has not been restored; eras begin at 1.
struct first_era_store : store::memory_store
{
    first_era_store()
    {
        restore(make_copy());
    }

    store::put_result put(const object_key& key, const std::string& value,
                          object_version expected) override
    {
        const store::put_result result =
            memory_store::put(key, value, expected);
        before_answer();
        return result;
    }

    std::function<void()> before_answer = [] {
    };
};

/// Gateways on a common clock. The platform carries orders out at once.
class world
{
public:
    explicit world(std::size_t gateways, std::size_t services = 1,
                   bool acquires = true)
        : acquires_lease(acquires)
    {
        for (std::size_t i = 0; i < services; ++i)
            for (const char* domain : {"east", "west"})
                api.numbers[{"s" + std::to_string(i), domain}] = 4;
        for (std::size_t i = 0; i < gateways; ++i)
            start(i);
    }

    /// Replaces the process of a gateway.
    void start(std::size_t i)
    {
        heard_.erase(i);
        announced_.erase(i);
        gateways_[i] = std::make_unique<process>(*this, i);
    }

    void step(std::size_t i)
    {
        process& p = *gateways_.at(i);
        try
        {
            p.duty.step(p.lease,
                        [&](const platform::duty_credentials& by,
                            const platform::scale_order& order)
                        {
                            time += call_time;
                            return api.call(by, order, p.number, time);
                        });
        }
        catch (const store::store_error&)
        {
            ++store_failures; // As in the gateway, the next step tries again.
        }
    }

    /// Steps all gateways but those in `silent` each half second.
    void run(duration d, const std::set<std::size_t>& silent = {})
    {
        const mono_time end = time + d;
        while (time < end)
        {
            time += milliseconds(500);
            for (const auto& [i, p] : gateways_)
                if (!silent.contains(i))
                    step(i);
        }
    }

    /// The gateway no longer announces itself, as if it were cut off.
    void silence(std::size_t i)
    {
        announced_[i] = false;
    }

    unsigned number(const std::string& domain = "east") const
    {
        return api.numbers.at({first_service.value, domain});
    }
    bool holds(std::size_t i) const
    {
        return gateways_.at(i)->lease.is_holder();
    }

    first_era_store store;
    fake_api api;
    mono_time time{seconds(10)};
    unsigned store_failures = 0;
    duration call_time{};
    double asked = 2.5; ///< By callers in each failure domain.
    bool has_scaling = true;
    std::set<std::string> lost; ///< Failure domains without upstreams.
    bool is_complete = true;
    const bool acquires_lease;

private:
    struct process
    {
        process(world& w, std::size_t i)
            : started(w.time), number(int(i) + 10 * w.starts_++),
              lease(w.store, {.holder = "g" + std::to_string(i)},
                    [&w] { return w.time; }),
              duty(options(w, i))
        {
            w.store.get(object_key("any")); // Tells the era.
            lease.follow_era();
        }

        scaling_duty_options options(world& w, std::size_t i)
        {
            scaling_duty_options o;
            o.holder = "g" + std::to_string(i);
            o.acquires_lease = w.acquires_lease;
            o.clock = [&w]
            {
                return w.time;
            };
            o.view = [this, &w, i]
            {
                return w.view(*this, i);
            };
            o.announce = [&w, i](bool is_holder)
            {
                w.announced_[i] = is_holder;
            };
            return o;
        }

        mono_time started;
        int number;
        duty_lease lease;
        scaling_duty duty;
    };

    scaling_view view(const process& p, std::size_t i)
    {
        scaling_view v;
        for (const auto& [other, is_holder] : announced_)
            if (is_holder)
                heard_[other] = time;
        mono_time heard = p.started;
        for (const auto& [other, at] : heard_)
            if (other != i)
                heard = std::max(heard, at);
        v.holder_silence = time - heard;
        v.index = i;
        v.gateways = gateways_.size();
        v.is_complete = is_complete;
        if (!has_scaling)
            return v;
        std::map<std::string, scaled_service> services;
        for (const auto& [of, n] : api.numbers)
        {
            scaled_service& s = services[of.first];
            s.name = service_id(of.first);
            s.bounds = {2, 10, seconds(5)};
            if (lost.contains(of.second))
                continue;
            policy::scaling_load load;
            load.asked = asked;
            load.registered = n;
            s.domains[failure_domain_id(of.second)] = load;
        }
        for (auto& [name, it] : services)
            v.services.push_back(std::move(it));
        return v;
    }

    std::map<std::size_t, std::unique_ptr<process>> gateways_;
    std::map<std::size_t, bool> announced_;
    std::map<std::size_t, mono_time> heard_;
    int starts_ = 0;
};

} // namespace poplar::gateway
