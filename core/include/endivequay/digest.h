#ifndef ENDIVEQUAY_DIGEST_H
#define ENDIVEQUAY_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace endivequay {

/// SHA-256 of \a data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA256 of \a data under \a secret as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view secret, std::string_view data);

/// Compares two strings in a time that depends only on their lengths, against timing attacks.
bool equalConstantTime(std::string_view a, std::string_view b);

/// 64-bit FNV-1a with a final mix. Identical on all machines and in all versions.
constexpr std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
    for (char c : data) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

/// \a count cryptographically secure random bytes.
std::string randomBytes(std::size_t count);

/// A cryptographically secure random number other than 0, used as an incarnation.
std::uint64_t randomNonZero64();

} // namespace endivequay

#endif
