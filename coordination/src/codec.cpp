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

using detail::archiveFields;
using detail::FieldKey;
using detail::messageKinds;

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
    void operator()(FieldKey key, const T &value)
    {
        if constexpr (IsOptional<T>::value) {
            if (value)
                json_[key.key] = write(*value);
        } else if constexpr (IsVector<T>::value) {
            // Empty lists are omitted, as most lists are empty.
            if (!value.empty())
                json_[key.key] = write(value);
        } else {
            json_[key.key] = write(value);
        }
    }

    template <class First, class Second>
    void alternatives(FieldKey first, FieldKey second, const std::variant<First, Second> &value)
    {
        if (const auto *firstValue = std::get_if<First>(&value))
            (*this)(first, *firstValue);
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
            archiveFields(part, value);
            return std::move(part.json_);
        }
    }

private:
    Json json_ = Json::object();
};

/// Reads the fields of one map. The first error is kept, with the path of its field.
class Reader
{
public:
    static constexpr bool reading = true;

    /// \a fieldsRead counts the fields read from all maps of the message.
    Reader(const Json &json, std::string path, std::optional<Error> &error, std::size_t &fieldsRead)
        : json_(json)
        , path_(std::move(path))
        , error_(error)
        , fieldsRead_(fieldsRead)
    {
        if (!json_.is_object())
            fail("is not a map");
    }

    template <class T>
    void operator()(FieldKey key, T &value)
    {
        if (error_)
            return;
        const auto found = json_.find(key.key);
        if (found == json_.end()) {
            if constexpr (!IsOptional<T>::value && !IsVector<T>::value)
                Reader(json_, path_ + '.' + key.name, error_, fieldsRead_).fail("is missing");
            return;
        }
        ++fieldsFound_;
        ++fieldsRead_;
        Reader(*found, path_ + '.' + key.name, error_, fieldsRead_, NestedValue {}).read(value);
    }

    template <class First, class Second>
    void alternatives(FieldKey first, FieldKey second, std::variant<First, Second> &value)
    {
        if (error_)
            return;
        if (json_.contains(first.key))
            (*this)(first, value.template emplace<First>());
        else
            (*this)(second, value.template emplace<Second>());
    }

    /// Call after the last field. \a readElsewhere is the number of fields that the caller has
    /// read.
    void rejectUnknownFields(std::size_t readElsewhere = 0)
    {
        if (!error_ && fieldsFound_ + readElsewhere != json_.size())
            fail("has an unknown field");
    }

private:
    /// Selects the constructor for a value of any type; the public one requires a map.
    struct NestedValue
    { };

    Reader(const Json &json, std::string path, std::optional<Error> &error, std::size_t &fieldsRead,
        NestedValue)
        : json_(json)
        , path_(std::move(path))
        , error_(error)
        , fieldsRead_(fieldsRead)
    { }

    void fail(const char *reason)
    {
        if (!error_)
            error_ = Error { "codec.decode", path_, reason };
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
            Reader part(json_, path_, error_, fieldsRead_);
            archiveFields(part, value);
            part.rejectUnknownFields();
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
            return fail("is not a text string");
        if (found->size() > maxBytes)
            return fail("is too long");
        text = *found;
    }

    template <class First, class Second>
    void readPair(First &first, Second &second)
    {
        if (!json_.is_array() || json_.size() != 2)
            return fail("is not an array of two values");
        Reader(json_[0], path_, error_, fieldsRead_, NestedValue {}).read(first);
        Reader part(json_[1], path_, error_, fieldsRead_, NestedValue {});
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
            if (error_)
                return;
            Reader(entry, path_, error_, fieldsRead_, NestedValue {}).read(list.emplace_back());
        }
    }

    const Json &json_;
    const std::string path_;
    std::optional<Error> &error_;
    std::size_t &fieldsRead_;
    std::size_t fieldsFound_ = 0;
};

/// Validates the CBOR structure without recursion, ahead of the recursive parser, and accepts only
/// the types that messages use.
class CborValidator
{
public:
    explicit CborValidator(std::string_view bytes)
        : bytes_(bytes)
    { }

    /// Null if the bytes are one well-formed item, otherwise the reason for the rejection.
    const char *validate()
    {
        itemsLeft_[depth_++] = 1;
        while (depth_ > 0) {
            if (itemsLeft_[depth_ - 1] == 0) {
                --depth_;
                continue;
            }
            --itemsLeft_[depth_ - 1];
            if (const char *reason = item())
                return reason;
        }
        return bytes_.empty() ? nullptr : "trailing bytes after the message";
    }

    /// Number of fields in all maps.
    std::size_t fields() const { return fields_; }

private:
    const char *item()
    {
        if (bytes_.empty())
            return "the message is truncated";
        const unsigned initialByte = readByte();
        const unsigned majorType = initialByte >> 5;
        std::uint64_t argument = 0;
        // Of the simple values only false (20) and true (21) are used.
        if (majorType == 7)
            return (initialByte & 31) == 20 || (initialByte & 31) == 21 ? nullptr
                                                                        : "unsupported CBOR type";
        if (const char *reason = readArgument(initialByte & 31, argument))
            return reason;
        switch (majorType) {
        case 0: // Unsigned integer.
            return nullptr;
        case 3: // Text string.
            if (argument > bytes_.size())
                return "the message is truncated";
            bytes_.remove_prefix(argument);
            return nullptr;
        case 4: // Array.
            return enter(argument, 1);
        case 5: // Map.
            fields_ += argument;
            return enter(argument, 2);
        default:
            return "unsupported CBOR type";
        }
    }

    unsigned readByte()
    {
        const auto byte = static_cast<unsigned char>(bytes_.front());
        bytes_.remove_prefix(1);
        return byte;
    }

    const char *readArgument(unsigned additionalInfo, std::uint64_t &argument)
    {
        argument = additionalInfo;
        if (additionalInfo < 24)
            return nullptr;
        if (additionalInfo > 27)
            return "indefinite lengths are not supported";
        const std::size_t count = std::size_t { 1 } << (additionalInfo - 24);
        if (bytes_.size() < count)
            return "the message is truncated";
        argument = 0;
        for (std::size_t i = 0; i < count; ++i)
            argument = argument << 8 | readByte();
        return nullptr;
    }

    const char *enter(std::uint64_t count, std::uint64_t itemsEach)
    {
        if (count > bytes_.size() / itemsEach)
            return "the message is truncated";
        if (depth_ == maxDepth)
            return "the nesting is too deep";
        itemsLeft_[depth_++] = count * itemsEach;
        return nullptr;
    }

    std::string_view bytes_;
    std::array<std::uint64_t, maxDepth> itemsLeft_ {}; ///< Items left at each level.
    std::size_t depth_ = 0;
    std::size_t fields_ = 0;
};

template <std::size_t I = 0>
bool readKind(const std::string &kind, const Json &json, Message &message,
    std::optional<Error> &error, std::size_t &fieldsRead)
{
    if constexpr (I == std::variant_size_v<Message>) {
        return false;
    } else {
        if (kind != messageKinds[I].key)
            return readKind<I + 1>(kind, json, message, error, fieldsRead);
        Reader reader(json, messageKinds[I].name, error, fieldsRead);
        archiveFields(reader, message.emplace<I>());
        reader.rejectUnknownFields(1);
        return true;
    }
}

Result<Message> decodeChecked(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return Error { "codec.decode", "", "the message is too large" };
    CborValidator validator(bytes);
    if (const char *reason = validator.validate())
        return Error { "codec.decode", "", reason };
    const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!json.is_object())
        return Error { "codec.decode", "", "the message is not a map with text keys" };
    const auto kind = json.find("k");
    if (kind == json.end() || !kind->is_string())
        return Error { "codec.decode", "kind", "is missing" };
    Message message;
    std::optional<Error> error;
    std::size_t fieldsRead = 1;
    if (!readKind(kind->get_ref<const std::string &>(), json, message, error, fieldsRead))
        return Error { "codec.decode", "kind", "is unknown" };
    if (!error && fieldsRead != validator.fields())
        return Error { "codec.decode", "", "a field is repeated" };
    if (error)
        return *std::move(error);
    return message;
}

} // namespace

std::string encode(const Message &message)
{
    Json json = std::visit([](const auto &m) { return Writer::write(m); }, message);
    json["k"] = messageKinds[message.index()].key;
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
