#include "endivequay/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstring>
#include <span>
#include <stdexcept>

namespace endivequay {

namespace {

using Hash = std::array<unsigned char, 32>;

std::string toHex(std::span<const unsigned char> bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 0xf];
    }
    return text;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    Hash hash {};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), hash.data(), &size, EVP_sha256(), nullptr);
    return toHex(hash);
}

std::string hmacSha256Hex(std::string_view secret, std::string_view data)
{
    Hash hash {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char *>(data.data()), data.size(), hash.data(), &size);
    return toHex(hash);
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1)
        throw std::runtime_error("the system's random number generator failed");
    return bytes;
}

std::uint64_t randomNonZero64()
{
    std::uint64_t number = 0;
    while (number == 0)
        std::memcpy(&number, randomBytes(sizeof number).data(), sizeof number);
    return number;
}

} // namespace endivequay
