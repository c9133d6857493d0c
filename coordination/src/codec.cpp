#include "endivequay/codec.h"

#include "messagefields.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <type_traits>
#include <utility>

namespace endivequay {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxDepth = 8;
constexpr std::size_t maxNameBytes = 1'024;
constexpr std::size_t maxTextBytes = 1 << 20;
constexpr std::size_t maxListEntries = 10'000;
constexpr std::int64_t maxIntervalMicros = 1'000LL * 86'400 * 1'000'000;

using detail::describe;
using detail::Key;
using detail::kinds;

template <class T>
struct IsVector : std::false_type
{ };
template <class T>
struct IsVector<std::vector<T>> : std::true_type
{ };

template <class T>
struct IsOptional : std::false_type
{ };
template <class T>
struct IsOptional<std::optional<T>> : std::true_type
{ };

template <class T>
struct IsStrong : std::false_type
{ };
template <class Tag, class T>
struct IsStrong<Strong<Tag, T>> : std::true_type
{ };

using NamedText = std::pair<std::string, DocumentText>;

class Writer
{
public:
    static constexpr bool reading = false;

    template <class T>
    void operator()(Key key, const T &value)
    {
        if constexpr (IsOptional<T>::value) {
            if (value)
                json_[key.key] = write(*value);
        } else if constexpr (IsVector<T>::value) {
            // Most lists are empty; a missing one stands for that.
            if (!value.empty())
                json_[key.key] = write(value);
        } else {
            json_[key.key] = write(value);
        }
    }

    template <class First, class Second>
    void alternatives(Key first, Key second, const std::variant<First, Second> &value)
    {
        if (const auto *one = std::get_if<First>(&value))
            (*this)(first, *one);
        else
            (*this)(second, std::get<Second>(value));
    }

    template <class T>
    static Json write(const T &value)
    {
        if constexpr (std::is_same_v<T, Interval>) {
            return std::chrono::floor<std::chrono::microseconds>(value).count();
        } else if constexpr (std::is_same_v<T, HybridTime>) {
            return Json::array({ value.wallMicros, value.counter });
        } else if constexpr (std::is_same_v<T, NamedText>) {
            return Json::array({ value.first, *value.second });
        } else if constexpr (IsStrong<T>::value) {
            return value.value();
        } else if constexpr (std::is_enum_v<T>) {
            return static_cast<unsigned>(value);
        } else if constexpr (IsVector<T>::value) {
            Json list = Json::array();
            for (const auto &entry : value)
                list.push_back(write(entry));
            return list;
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            return value;
        } else {
            Writer part;
            describe(part, value);
            return std::move(part.json_);
        }
    }

private:
    Json json_ = Json::object();
};

/// Reads the fields of one map. The first fault is kept with the path of its field.
class Reader
{
public:
    static constexpr bool reading = true;

    /// \a fieldsRead counts the fields of all maps.
    Reader(const Json &json, std::string path, std::optional<Error> &fault, std::size_t &fieldsRead)
        : json_(json)
        , path_(std::move(path))
        , fault_(fault)
        , fieldsRead_(fieldsRead)
    {
        if (!json_.is_object())
            fail("is not a map");
    }

    template <class T>
    void operator()(Key key, T &value)
    {
        if (fault_)
            return;
        const auto found = json_.find(key.key);
        if (found == json_.end()) {
            if constexpr (!IsOptional<T>::value && !IsVector<T>::value)
                Reader(json_, path_ + '.' + key.name, fault_, fieldsRead_).fail("is missing");
            return;
        }
        ++used_;
        ++fieldsRead_;
        Reader(*found, path_ + '.' + key.name, fault_, fieldsRead_, Value {}).read(value);
    }

    template <class First, class Second>
    void alternatives(Key first, Key second, std::variant<First, Second> &value)
    {
        if (fault_)
            return;
        if (json_.contains(first.key))
            (*this)(first, value.template emplace<First>());
        else
            (*this)(second, value.template emplace<Second>());
    }

    /// To be called after the last field; \a others is the number of fields read elsewhere.
    void close(std::size_t others = 0)
    {
        if (!fault_ && used_ + others != json_.size())
            fail("has an unknown field");
    }

private:
    struct Value
    { };

    Reader(const Json &json, std::string path, std::optional<Error> &fault, std::size_t &fieldsRead,
        Value)
        : json_(json)
        , path_(std::move(path))
        , fault_(fault)
        , fieldsRead_(fieldsRead)
    { }

    void fail(const char *reason)
    {
        if (!fault_)
            fault_ = Error { "codec.decode", path_, reason };
    }

    template <class T>
    void read(T &value)
    {
        if constexpr (IsOptional<T>::value) {
            read(value.emplace());
        } else if constexpr (std::is_same_v<T, Interval>) {
            value = std::chrono::microseconds(number(maxIntervalMicros));
        } else if constexpr (std::is_same_v<T, HybridTime>) {
            readPair(value.wallMicros, value.counter);
        } else if constexpr (std::is_same_v<T, NamedText>) {
            std::string text;
            readPair(value.first, text);
            value.second = std::make_shared<const std::string>(std::move(text));
        } else if constexpr (IsStrong<T>::value) {
            std::remove_cvref_t<decltype(value.value())> inner {};
            read(inner);
            value = T(std::move(inner));
        } else if constexpr (std::is_same_v<T, MemberState>) {
            value = static_cast<T>(number(static_cast<std::uint64_t>(MemberState::Suspect)));
        } else if constexpr (std::is_same_v<T, bool>) {
            json_.is_boolean() ? value = json_.get<bool>() : (fail("is not a boolean"), false);
        } else if constexpr (std::is_integral_v<T>) {
            value = static_cast<T>(number(std::numeric_limits<T>::max()));
        } else if constexpr (std::is_same_v<T, std::string>) {
            readText(value, maxNameBytes);
        } else if constexpr (IsVector<T>::value) {
            readList(value);
        } else {
            Reader part(json_, path_, fault_, fieldsRead_);
            describe(part, value);
            part.close();
        }
    }

    std::uint64_t number(std::uint64_t max)
    {
        if (!json_.is_number_unsigned()) {
            fail("is not an unsigned integer");
            return 0;
        }
        const auto value = json_.get<std::uint64_t>();
        if (value > max) {
            fail("is out of range");
            return 0;
        }
        return value;
    }

    void readText(std::string &text, std::size_t maxBytes)
    {
        const auto *found = json_.get_ptr<const std::string *>();
        if (found == nullptr)
            return fail("is not a text");
        if (found->size() > maxBytes)
            return fail("is too long");
        text = *found;
    }

    template <class First, class Second>
    void readPair(First &first, Second &second)
    {
        if (!json_.is_array() || json_.size() != 2)
            return fail("is not a pair");
        Reader(json_[0], path_, fault_, fieldsRead_, Value {}).read(first);
        Reader part(json_[1], path_, fault_, fieldsRead_, Value {});
        if constexpr (std::is_same_v<Second, std::string>)
            part.readText(second, maxTextBytes);
        else
            part.read(second);
    }

    template <class T>
    void readList(std::vector<T> &list)
    {
        if (!json_.is_array())
            return fail("is not a list");
        if (json_.size() > maxListEntries)
            return fail("has too many entries");
        list.reserve(json_.size());
        for (const auto &entry : json_) {
            if (fault_)
                return;
            Reader(entry, path_, fault_, fieldsRead_, Value {}).read(list.emplace_back());
        }
    }

    const Json &json_;
    const std::string path_;
    std::optional<Error> &fault_;
    std::size_t &fieldsRead_;
    std::size_t used_ = 0;
};

/// Checks the CBOR structure without recursion, before the recursive parser sees it. Only the
/// types that messages use are accepted.
class Scanner
{
public:
    explicit Scanner(std::string_view bytes)
        : bytes_(bytes)
    { }

    /// Why the bytes are not one well-formed item; null if they are.
    const char *fault()
    {
        open_[depth_++] = 1;
        while (depth_ > 0) {
            if (open_[depth_ - 1] == 0) {
                --depth_;
                continue;
            }
            --open_[depth_ - 1];
            if (const char *reason = item())
                return reason;
        }
        return bytes_.empty() ? nullptr : "bytes after the message";
    }

    /// Number of fields of all maps.
    std::size_t fields() const { return fields_; }

private:
    const char *item()
    {
        if (bytes_.empty())
            return "the message is cut";
        const unsigned head = take();
        const unsigned type = head >> 5;
        std::uint64_t argument = 0;
        if (type == 7)
            return (head & 31) == 20 || (head & 31) == 21 ? nullptr : "a type is not used";
        if (const char *reason = readArgument(head & 31, argument))
            return reason;
        switch (type) {
        case 0:
            return nullptr;
        case 3:
            if (argument > bytes_.size())
                return "the message is cut";
            bytes_.remove_prefix(argument);
            return nullptr;
        case 4:
            return open(argument, 1);
        case 5:
            fields_ += argument;
            return open(argument, 2);
        default:
            return "a type is not used";
        }
    }

    unsigned take()
    {
        const auto byte = static_cast<unsigned char>(bytes_.front());
        bytes_.remove_prefix(1);
        return byte;
    }

    const char *readArgument(unsigned info, std::uint64_t &argument)
    {
        argument = info;
        if (info < 24)
            return nullptr;
        if (info > 27)
            return "a length is not definite";
        const std::size_t count = std::size_t { 1 } << (info - 24);
        if (bytes_.size() < count)
            return "the message is cut";
        argument = 0;
        for (std::size_t i = 0; i < count; ++i)
            argument = argument << 8 | take();
        return nullptr;
    }

    const char *open(std::uint64_t count, std::uint64_t itemsEach)
    {
        if (count > bytes_.size() / itemsEach)
            return "the message is cut";
        if (depth_ == maxDepth)
            return "the nesting is too deep";
        open_[depth_++] = count * itemsEach;
        return nullptr;
    }

    std::string_view bytes_;
    std::array<std::uint64_t, maxDepth> open_ {}; ///< Items left at each level.
    std::size_t depth_ = 0;
    std::size_t fields_ = 0;
};

template <std::size_t I = 0>
bool readKind(const std::string &kind, const Json &json, Message &message,
    std::optional<Error> &fault, std::size_t &fieldsRead)
{
    if constexpr (I == std::variant_size_v<Message>) {
        return false;
    } else {
        if (kind != kinds[I].key)
            return readKind<I + 1>(kind, json, message, fault, fieldsRead);
        Reader reader(json, kinds[I].name, fault, fieldsRead);
        describe(reader, message.emplace<I>());
        reader.close(1);
        return true;
    }
}

Result<Message> decodeChecked(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return Error { "codec.decode", "", "the message is too large" };
    Scanner scanner(bytes);
    if (const char *reason = scanner.fault())
        return Error { "codec.decode", "", reason };
    const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!json.is_object())
        return Error { "codec.decode", "", "the message is not a map with text keys" };
    const auto kind = json.find("k");
    if (kind == json.end() || !kind->is_string())
        return Error { "codec.decode", "kind", "is missing" };
    Message message;
    std::optional<Error> fault;
    std::size_t fieldsRead = 1;
    if (!readKind(kind->get_ref<const std::string &>(), json, message, fault, fieldsRead))
        return Error { "codec.decode", "kind", "is unknown" };
    if (!fault && fieldsRead != scanner.fields())
        return Error { "codec.decode", "", "a field is repeated" };
    if (fault)
        return *std::move(fault);
    return message;
}

} // namespace

std::string encode(const Message &message)
{
    Json json = std::visit([](const auto &m) { return Writer::write(m); }, message);
    json["k"] = kinds[message.index()].key;
    std::string bytes;
    Json::to_cbor(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

Result<Message> decode(std::string_view bytes) noexcept
{
    try {
        return decodeChecked(bytes);
    } catch (const std::exception &) {
        return Error { "codec.decode", "", "out of memory" };
    }
}

} // namespace endivequay
