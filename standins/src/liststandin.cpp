#include "server.h"

#include <algorithm>

namespace endivequay {

namespace standins {

namespace {

bool isInstance(const Json &json)
{
    if (!json.is_object())
        return false;
    const auto text = [&json](const char *name) {
        const auto found = json.find(name);
        return found != json.end() && found->is_string() ? found->get<std::string>()
                                                         : std::string();
    };
    return !text("address").empty() && !text("failure_domain").empty()
        && (text("state") == "live" || text("state") == "leaving");
}

class ListService : public Service, public std::enable_shared_from_this<ListService>
{
public:
    explicit ListService(Scheduler &scheduler)
        : scheduler_(scheduler)
    { }

    void handle(const ExchangePointer &exchange) override
    {
        if (exchange->method == "GET" && exchange->path() == "/instances")
            exchange->respondJson(200, visibleList_);
        else if (exchange->method == "POST" && exchange->path() == "/control")
            handleControl(*exchange);
        else
            exchange->respondJson(404, { { "error", "no such path" } });
    }
    void close() override { }

private:
    void handleControl(Exchange &exchange)
    {
        const Json json = Json::parse(exchange.body, nullptr, false);
        const Json lag = json.is_object() ? json.value("lag_ms", Json(lagMs_)) : Json();
        const Json list = json.is_object() ? json.value("instances", Json(nullptr)) : Json();
        if (!lag.is_number_unsigned()
            || !(list.is_null() || (list.is_array() && std::ranges::all_of(list, isInstance)))) {
            exchange.respondJson(400, { { "error", "malformed instances or lag_ms" } });
            return;
        }
        lagMs_ = lag.get<std::uint32_t>();
        if (list.is_array())
            publish(list);
        exchange.respondJson(200, Json::object());
    }

    void publish(const Json &list)
    {
        const std::uint64_t version = ++lastVersion_;
        const auto makeVisible = [self = shared_from_this(), list, version] {
            // A later list with a shorter lag may already be visible.
            if (version > self->visibleVersion_) {
                self->visibleList_ = list;
                self->visibleVersion_ = version;
            }
        };
        if (lagMs_ == 0)
            makeVisible();
        else
            scheduler_.runAfter(std::chrono::milliseconds(lagMs_), makeVisible);
    }

    Scheduler &scheduler_;
    Json visibleList_ = Json::array();
    std::uint32_t lagMs_ = 0;
    std::uint64_t lastVersion_ = 0;
    std::uint64_t visibleVersion_ = 0;
};

} // namespace

} // namespace standins

Result<Standin> startListStandin(const Address &listen)
{
    return standins::startServer(listen, [](standins::Scheduler &scheduler) {
        return std::make_shared<standins::ListService>(scheduler);
    });
}

} // namespace endivequay
