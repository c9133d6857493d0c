#include "proptest.h"

#include "endivequay/codec.h"

#include <random>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

using namespace endivequay;
using namespace std::chrono_literals;

namespace {

DocumentText text(std::string value)
{
    return std::make_shared<const std::string>(std::move(value));
}

std::vector<Message> samples()
{
    const MemberIdentity member { Incarnation(7), 1'700'000'000'000'000, Address("10.0.0.1:7400"),
        FailureDomainId("gulf-1") };
    const LoggedChange change { Revision(12), Revision(9), ChangeId("c1"),
        { { "teams/a", text("{}") } }, { "teams/b" } };
    const std::vector<SilenceReport> silences { { Incarnation(3), Revision(9), 2s, 1s } };
    return { Hello { { 1, 2 }, member },
        Heartbeat { { 5, 0 }, Incarnation(7), 4, MemberState::Leaving, Revision(12), 250ms,
            { 1, 2, 3 }, { Incarnation(9) } },
        Heartbeat {}, HeartbeatEcho { 4, silences },
        ConfigPull { 3, Revision(12), SnapshotCursor { Revision(9), "teams/a" } },
        ConfigReply { {}, 3, Revision(12), 1ms, {}, silences, ConfigDelta { { change } } },
        ConfigReply { {}, 3, Revision(12), {}, {}, {},
            SnapshotPart { Revision(12), ChangeId("c1"), "a", { { "b", text("x") } }, false } },
        MemberDigest { Incarnation(7), { { member, 4, MemberState::Suspect, 3s } } } };
}

std::string reasonOf(std::string_view bytes)
{
    const auto message = decode(bytes);
    return message ? "" : toString(message.lastReason());
}

/// \a bytes with the first \a from replaced by \a to.
std::string replaced(std::string bytes, std::string_view from, std::string_view to)
{
    return bytes.replace(bytes.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(Codec) {};

// Guards against fields that encoding or decoding loses or alters.
TEST(Codec, EveryMessageSurvivesARoundTrip)
{
    for (const auto &message : samples()) {
        const auto decoded = decode(encode(message));
        CHECK(decoded.hasValue());
        LONGS_EQUAL(message.index(), decoded.value()->index());
        CHECK(encode(message) == encode(*decoded));
    }
    const auto heartbeat = std::get<Heartbeat>(samples()[1]);
    CHECK(heartbeat == std::get<Heartbeat>(*decode(encode(heartbeat))));
}

// Guards against malformed input that is accepted, or rejected without naming the field.
TEST(Codec, FaultsNameTheField)
{
    const std::string bytes = encode(samples()[1]);
    const auto check = [](const char *expected, const std::string &input) {
        STRCMP_CONTAINS(expected, reasonOf(input).c_str());
    };
    check("heartbeat.load.slots): is missing", replaced(bytes, "\x61s\x02", "\x61z\x02"));
    check("kind): is unknown", replaced(bytes, "\x62hb", "\x62zz"));
    check("heartbeat.sequence): is not an unsigned", replaced(bytes, "\x61n\x04", "\x61n\xf5"));
    check("heartbeat.state): is out of range", replaced(bytes, "\x61s\x01", "\x61s\x17"));
    check("trailing bytes after the message", bytes + '\0');
    check("message is truncated", bytes.substr(0, bytes.size() - 1));
    std::string more = replaced(bytes, "\x61k", "\x61z\x01\x61k");
    ++more[0];
    check("has an unknown field", more);
    more = replaced(bytes, "\x61n\x04", "\x61n\x04\x61n\x04");
    ++more[0];
    check("a field is repeated", more);
}

// Guards against short messages that exhaust the stack or the memory.
TEST(Codec, HostileStructureIsRejected)
{
    STRCMP_CONTAINS("too deep", reasonOf(std::string(1'000'000, '\x81')).c_str());
    STRCMP_CONTAINS("truncated", reasonOf("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff").c_str());
    STRCMP_CONTAINS("indefinite", reasonOf("\x9f\x01\xff").c_str());
    STRCMP_CONTAINS("too large", reasonOf(std::string(maxMessageBytes + 1, '\x81')).c_str());
}

// Guards against crashes, exceptions and unstable round trips on mutated messages.
TEST(Codec, MutatedMessagesAreDecodedOrRejected)
{
    std::mt19937_64 random(20261204);
    std::size_t accepted = 0;
    for (int i = 0; i < 40'000; ++i) {
        const auto all = samples();
        std::string bytes = encode(all[random() % all.size()]);
        for (auto changes = random() % 4; changes > 0; --changes) {
            const std::size_t at = random() % bytes.size();
            switch (random() % 4) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << random() % 8));
                break;
            case 2:
                bytes.insert(at, bytes.substr(random() % bytes.size(), random() % 16));
                break;
            default:
                bytes.erase(at, 1 + random() % 8);
                break;
            }
            if (bytes.empty())
                break;
        }
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
        accepted += decode(bytes).hasValue() ? 1 : 0;
    }
    CHECK(accepted > 10'000);
}

// Guards against cell and loan messages that lose a field. Without the origin of a loan or the
// number of a return, borrowed tokens would be counted twice or never returned.
TEST(Codec, MessagesOfSharesSurviveTheWire)
{
    const LoanId loan { Incarnation(7), 9 };
    const LoanOrigin origin { Incarnation(5), { Incarnation(6), 2 } };
    const LoanReply reply { loan, ResourceId("team/a"), Incarnation(8), 11, { 5, 6 }, 4, 2, 5s,
        origin, Incarnation(3) };
    const LoanReturn back { loan, { Incarnation(7), 10 }, ResourceId("team/a"), { 5, 6 }, 4, 2 };
    const LoanRequest request { loan, ResourceId("team/a"), 11, { 5, 6 }, 1'000'000, 2, loan };
    const LedgerPull pull { 3, Incarnation(7), FailureDomainId("d"),
        { { FailureDomainId("d"), Revision(4) } }, true };
    const CellReleased released { FailureDomainId("d"), Incarnation(8), Revision(4), { 0, 119 } };

    const auto sameReply = std::get<LoanReply>(*decode(encode(reply)));
    CHECK(sameReply.origin && sameReply.origin->lender == origin.lender);
    CHECK(sameReply.origin->id == origin.id);
    CHECK(sameReply.holder == reply.holder && sameReply.amount == reply.amount);
    CHECK(sameReply.lender == reply.lender && sameReply.definition == 11);
    CHECK(sameReply.tokens == 4 && sameReply.slots == 2 && sameReply.term == 5s);
    const auto sameBack = std::get<LoanReturn>(*decode(encode(back)));
    CHECK(sameBack.id == back.id && sameBack.message == back.message);
    CHECK(sameBack.amount == back.amount && sameBack.tokens == 4 && sameBack.slots == 2);
    const auto sameRequest = std::get<LoanRequest>(*decode(encode(request)));
    CHECK(sameRequest.renews == request.renews && sameRequest.tokens == request.tokens);
    CHECK(sameRequest.amount == request.amount && sameRequest.slots == 2);
    CHECK(std::get<LedgerPull>(*decode(encode(pull))) == pull);
    CHECK(std::get<CellReleased>(*decode(encode(released))).cells == released.cells);
}
