#include "main.h"

using namespace endivequay;

int main(int argc, char **argv)
{
    return standins::serve(argc, argv, {},
        [](const Address &listen, const standins::Values &) { return startListStandin(listen); });
}
