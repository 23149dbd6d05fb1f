#include "standin/weights/store.hpp"

#include "standin/common/json.hpp"

#include <algorithm>

namespace poplar::standin
{

weight_settings parse_weight_settings(settings::reader& all)
{
    weight_settings s;
    s.listen = all.address("listen", {"127.0.0.1", 0});
    s.loads_per_s = all.number("loads_per_s", 2, 0.001, 1e6);
    s.bytes =
        static_cast<std::size_t>(all.size("bytes", byte_count(1 << 20),
                                          byte_count(0), byte_count(1 << 28))
                                     .value);
    all.finish();
    return s;
}

weight_store::weight_store(weight_settings settings)
    : settings_(std::move(settings)),
      loads_left_(std::max(1.0, settings_.loads_per_s))
{
}

bool weight_store::take_load()
{
    absl::MutexLock lock(&mutex_);
    const mono_time at = now();
    const std::chrono::duration<double> passed = at - filled_;
    filled_ = at;
    loads_left_ =
        std::min(std::max(1.0, settings_.loads_per_s),
                 loads_left_ + passed.count() * settings_.loads_per_s);
    if (loads_left_ < 1)
    {
        ++refused_;
        return false;
    }
    loads_left_ -= 1;
    ++loads_;
    return true;
}

void weight_store::give_weights(const net::responder_ptr& answer)
{
    if (take_load())
        return answer->respond({200,
                                {{"Content-Type", "application/octet-stream"}},
                                std::string(settings_.bytes, '\0')});
    net::http_response refused =
        net::json_response(429, R"({"error":"rate_limited"})");
    refused.headers.push_back({"Retry-After", "1"});
    answer->respond(std::move(refused));
}

void weight_store::give_counters(const net::responder_ptr& answer) const
{
    absl::MutexLock lock(&mutex_);
    respond_json(answer, 200, {{"loads", loads_}, {"refused", refused_}});
}

void weight_store::handle(const net::http_request& request,
                          const net::responder_ptr& answer)
{
    if (request.path == "/admin/counters")
        return give_counters(answer);
    if (request.path.starts_with("/weights/"))
        return give_weights(answer);
    respond_error(answer, 404, "not_found");
}

} // namespace poplar::standin
