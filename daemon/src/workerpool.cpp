#include "workerpool.h"

namespace endivequay {

WorkerPool::WorkerPool(int threads, std::size_t maxQueued)
    : maxQueued_(maxQueued)
{
    for (int i = 0; i < threads; ++i)
        threads_.emplace_back([this] { work(); });
}

WorkerPool::~WorkerPool()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    changed_.notify_all();
    for (std::thread &thread : threads_)
        thread.join();
}

bool WorkerPool::tryRun(std::function<void()> work)
{
    {
        const std::lock_guard lock(mutex_);
        if (ending_ || queue_.size() >= maxQueued_)
            return false;
        queue_.push_back(std::move(work));
    }
    changed_.notify_one();
    return true;
}

void WorkerPool::work()
{
    for (;;) {
        std::function<void()> next;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return ending_ || !queue_.empty(); });
            if (queue_.empty())
                return;
            next = std::move(queue_.front());
            queue_.pop_front();
        }
        next();
    }
}

} // namespace endivequay
