#ifndef ENDIVEQUAY_DAEMON_WORKERPOOL_H
#define ENDIVEQUAY_DAEMON_WORKERPOOL_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace endivequay {

/// Thread pool for blocking work, with a bounded queue.
class WorkerPool
{
public:
    WorkerPool(int threads, std::size_t maxQueued);
    /// Runs the queued work, then joins the threads.
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Queues \a work. Returns false if the queue is full.
    bool tryRun(std::function<void()> work);

private:
    void work();

    const std::size_t maxQueued_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> queue_;
    bool ending_ = false;
    std::vector<std::thread> threads_;
};

} // namespace endivequay

#endif
