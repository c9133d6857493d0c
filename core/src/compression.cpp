#include "endivequay/compression.h"

#include <array>
#include <zlib.h>

namespace endivequay {

namespace {

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

} // namespace

std::string compressed(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string result(size, '\0');
    // Cannot fail: the buffer has the size given by compressBound() and the level is valid.
    (void)compress2(reinterpret_cast<Bytef *>(result.data()), &size, bytesOf(bytes), bytes.size(),
        Z_BEST_SPEED);
    result.resize(size);
    return result;
}

Result<std::string> decompressed(std::string_view bytes, std::size_t maxBytes)
{
    constexpr std::size_t chunkSize = std::size_t { 16 } * 1024;
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return Error { "decompress", {}, "out of memory" };
    stream.next_in = const_cast<Bytef *>(bytesOf(bytes));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string result;
    std::array<char, chunkSize> chunk {};
    int status = Z_OK;
    while (status == Z_OK && result.size() <= maxBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = chunkSize;
        status = inflate(&stream, Z_NO_FLUSH);
        result.append(chunk.data(), chunkSize - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result.size() > maxBytes)
        return Error { "decompress", {}, "the content is too large" };
    if (status != Z_STREAM_END)
        return Error { "decompress", {}, "the content is malformed or truncated" };
    return result;
}

} // namespace endivequay
