#ifndef ENDIVEQUAY_BENCH_CONTROL_H
#define ENDIVEQUAY_BENCH_CONTROL_H

#include <cstddef>

namespace endivequay::bench {

/// Sizes of a fleet. Nodes and failure domains are spread evenly.
struct FleetSize
{
    int nodes = 0;
    int domains = 0;
    int regions = 0;
};

/// Cost of the control plane for one node, without framing and encryption.
struct ControlCost
{
    double meanSentRate = 0; ///< Bytes per second, mean over the nodes of the sampled domain.
    double worstSentRate = 0; ///< Bytes per second, of the node that sends most.
    double worstTotalRate
        = 0; ///< Bytes per second sent and received, of the node with the largest sum.
    double meanCpuPercent = 0; ///< Percent of one core.
    double worstCpuPercent = 0;
    double sentMessageRate = 0; ///< Messages per second, of the node that sends most.
    double heartbeatMicros = 0; ///< CPU time to encode, decode and apply one heartbeat.
    int worstLinks = 0; ///< Links of the node that sends most.
};

/// Runs the heartbeat, digest and pull traffic of one failure domain of a fleet on virtual time,
/// with encoded messages, and measures traffic and CPU time of its nodes.
ControlCost measureControlCost(FleetSize size);

/// Heap bytes for the state of one node: membership, a configuration log with a full change ring
/// and a served snapshot, and an operation table at its limits.
std::size_t measureControlMemory(FleetSize size);

} // namespace endivequay::bench

#endif
