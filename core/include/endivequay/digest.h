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

/// Compares in time that depends only on the lengths.
bool equalConstantTime(std::string_view a, std::string_view b);

/// 64-bit FNV-1a with a final mix. The same on every machine and in every version.
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

/// Cryptographically strong random bytes, \a count of them.
std::string randomBytes(std::size_t count);

/// A random number that is not 0, for incarnations.
std::uint64_t randomNonZero64();

} // namespace endivequay

#endif
