#include "endivequay/peerlinks.h"

#include <CppUTest/TestHarness.h>

#include <condition_variable>
#include <mutex>
#include <vector>

using namespace endivequay;

namespace {

/// Records the callbacks of one process and waits for them.
class Recorder
{
public:
    PeerLinkHandlers handlers()
    {
        PeerLinkHandlers handlers;
        handlers.connected = [this](const PeerIdentity &peer) { add("connected", peer.address); };
        handlers.message = [this](const PeerIdentity &peer, const std::string &message) {
            add("message", peer.address + " " + message);
        };
        handlers.rejected
            = [this](const std::string &, const std::string &reason) { add("rejected", reason); };
        return handlers;
    }

    /// Waits for an entry of \a kind, removes it and returns its text.
    std::string await(const std::string &kind)
    {
        std::unique_lock lock(mutex_);
        const auto matches = [&](const auto &entry) { return entry.first == kind; };
        auto found = entries_.end();
        changed_.wait_for(lock, std::chrono::seconds(20), [&] {
            found = std::find_if(entries_.begin(), entries_.end(), matches);
            return found != entries_.end();
        });
        if (found == entries_.end())
            return "nothing of kind " + kind;
        const std::string text = found->second;
        entries_.erase(found);
        return text;
    }

    bool has(const std::string &kind)
    {
        const std::lock_guard lock(mutex_);
        return std::any_of(entries_.begin(), entries_.end(),
            [&](const auto &entry) { return entry.first == kind; });
    }

private:
    void add(const std::string &kind, const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        entries_.emplace_back(kind, text);
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::pair<std::string, std::string>> entries_;
};

std::unique_ptr<PeerLinks> startLinks(
    Recorder &recorder, const std::string &secret, std::uint64_t incarnation)
{
    PeerLinkSettings settings;
    settings.listenAddress = "127.0.0.1:0";
    settings.cluster = "test";
    settings.secret = secret;
    settings.incarnation = incarnation;
    std::string error;
    auto links = PeerLinks::start(settings, recorder.handlers(), &error);
    CHECK_TEXT(links != nullptr, error.c_str());
    return links;
}

const std::string secret = "0123456789abcdef";

} // namespace

TEST_GROUP(PeerLinks) {};

// Guards against messages that are delivered to the wrong peer or not at all.
TEST(PeerLinks, DeliversBothWaysAfterAuthentication)
{
    Recorder a;
    Recorder b;
    auto linksA = startLinks(a, secret, 1);
    auto linksB = startLinks(b, secret, 2);
    linksA->connect(linksB->address());
    STRCMP_EQUAL(linksB->address().c_str(), a.await("connected").c_str());
    STRCMP_EQUAL(linksA->address().c_str(), b.await("connected").c_str());
    linksA->send(linksB->address(), "ping");
    STRCMP_EQUAL((linksA->address() + " ping").c_str(), b.await("message").c_str());
    linksB->send(linksA->address(), std::string("po\0ng", 5));
    STRCMP_CONTAINS(linksB->address().c_str(), a.await("message").c_str());
    LONGS_EQUAL(5, linksB->counters().sentBytes);
}

// Guards against a process without the shared secret that is accepted as a peer.
TEST(PeerLinks, RejectsAnotherSecretOnBothSides)
{
    Recorder a;
    Recorder b;
    auto linksA = startLinks(a, secret, 1);
    auto linksB = startLinks(b, "another secret, long enough", 2);
    linksA->connect(linksB->address());
    STRCMP_EQUAL("wrong proof of the shared secret", a.await("rejected").c_str());
    CHECK_FALSE(a.has("connected"));
    CHECK_FALSE(b.has("connected"));
}

// Guards against a dead connection that stays in use although a new one would work.
TEST(PeerLinks, ReplacesALinkAndDeliversOnTheNewOne)
{
    Recorder a;
    Recorder b;
    auto linksA = startLinks(a, secret, 1);
    auto linksB = startLinks(b, secret, 2);
    linksA->connect(linksB->address());
    a.await("connected");
    b.await("connected");
    linksA->replace(linksB->address());
    a.await("connected");
    b.await("connected");
    linksA->send(linksB->address(), "again");
    STRCMP_EQUAL((linksA->address() + " again").c_str(), b.await("message").c_str());
}

// Guards against a process that starts with unusable settings.
TEST(PeerLinks, RefusesBadSettings)
{
    std::string error;
    PeerLinkSettings settings;
    settings.listenAddress = "127.0.0.1";
    settings.secret = secret;
    CHECK(PeerLinks::start(settings, {}, &error) == nullptr);
    STRCMP_CONTAINS("is not ip:port", error.c_str());
    settings.listenAddress = "127.0.0.1:0";
    settings.secret = "short";
    CHECK(PeerLinks::start(settings, {}, &error) == nullptr);
    STRCMP_CONTAINS("secret", error.c_str());
}
