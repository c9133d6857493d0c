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
    double meanSent = 0; ///< Bytes per second, over the nodes of the sample domain.
    double worstSent = 0; ///< Of the node that sends most.
    double worstTotal = 0; ///< Sent and received, of the node with the largest sum.
    double meanCore = 0; ///< Percent of a core.
    double worstCore = 0;
    double messages = 0; ///< Sent per second by the node that sends most.
    double heartbeatMicros = 0; ///< Processor time to encode, decode and apply one heartbeat.
    int worstLinks = 0;
};

/// Runs the heartbeat, digest and pull traffic of one failure domain of a fleet on virtual time,
/// with encoded messages, and measures bytes and processor time of its nodes.
ControlCost measureControlCost(FleetSize size);

/// Bytes on the heap for the state of one node: membership, configuration log with full ring and a
/// served snapshot, and operations at their bounds.
std::size_t measureControlMemory(FleetSize size);

} // namespace endivequay::bench

#endif
