#include "demo.h"

// Yıldırım Sofra Evi: menus need no key; meal orders, dietary plans and supplier bookings are
// executed at most once.
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
    for (const std::string region : { "ege", "kapadokya", "karadeniz" })
        deployment.region(region, 2500, 4ms);
    fleet.regionDelay("ege", "kapadokya", 35ms).link("ege", "kapadokya", linkBytesPerSecond);
    fleet.regionDelay("ege", "karadeniz", 35ms).link("ege", "karadeniz", linkBytesPerSecond);
    fleet.regionDelay("kapadokya", "karadeniz", 35ms)
        .link("kapadokya", "karadeniz", linkBytesPerSecond);

    fleet.service("sofra")
        .plannedRate(1800)
        .shiftCap(0.25, 60s)
        .route(get("/menus").open().within(2s))
        .route(post("/orders").once().within(5s))
        .route(post("/diets").once().within(5s));
    fleet.service("kiler")
        .plannedRate(700)
        .shiftCap(0.25, 60s)
        .route(post("/bookings").once().within(5s))
        .route(get("/stock").within(3s));
    deployment.upstreams("sofra", 20, 9, 400);
    deployment.upstreams("kiler", 14, 9, 400);

    deployment.team("izmir-banquets", 400, 800);
    deployment.team("urgup-hotels", 320, 640);
    deployment.team("trabzon-canteens", 240, 480);
    deployment.team("bodrum-weddings", 80, 160);
    deployment.team("goreme-pensions", 60, 120);
    deployment.team("rize-tea-houses", 40, 80);
    deployment.team("dietitians", 20, 40);
    deployment.team("suppliers", 20, 60);
    return deployment.print();
}
