#include "demo.h"

// Kapadwala Thrift Bales: photos and listings need no key, reservations and dispatch confirmations
// are executed at most once, catalogue exports have the lowest priority.
int main(int argc, char **argv)
{
    using namespace endivequay::operators;
    using namespace std::chrono_literals;
    constexpr double linkBytesPerSecond = 4e9 / 8;

    const auto settings = demo::parse(argc, argv);
    if (!settings)
        return 0;
    Fleet fleet;
    demo::Deployment deployment(fleet, *settings);
    for (const std::string region : { "west-in", "gulf", "east-africa" })
        deployment.region(region, 1500, 4ms);
    fleet.regionDelay("west-in", "gulf", 20ms).link("west-in", "gulf", linkBytesPerSecond);
    fleet.regionDelay("west-in", "east-africa", 20ms)
        .link("west-in", "east-africa", linkBytesPerSecond);
    fleet.regionDelay("gulf", "east-africa", 20ms).link("gulf", "east-africa", linkBytesPerSecond);

    fleet.service("storefront")
        .plannedRate(1200)
        .shiftCap(0.2, 60s)
        .route(get("/bales").open().within(2s))
        .route(get("/photos").open().within(5s))
        .route(post("/reservations").once().within(5s))
        .route(get("/orders").within(3s));
    fleet.service("godown")
        .plannedRate(300)
        .shiftCap(0.2, 60s)
        .route(post("/dispatches").once().within(5s))
        .route(get("/exports").deferrable().within(10s));
    deployment.upstreams("storefront", 14, 9, 300);
    deployment.upstreams("godown", 12, 8, 300);

    deployment.team("kandla-sorting", 300, 600);
    deployment.team("dubai-wholesale", 240, 480);
    deployment.team("mombasa-market", 180, 360);
    deployment.team("surat-weavers", 60, 120);
    deployment.team("muscat-vintage", 40, 80);
    deployment.team("nairobi-stalls", 40, 80);
    deployment.team("pune-repairs", 20, 40);
    deployment.team("catalogue-nightly", 10, 40);
    return deployment.print();
}
