use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::call::CallAnswer;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum SimulationEvent {
    /// The next request of the arrival process is due.
    NextArrival,
    /// A caller sends a request again.
    Resend(usize),
    /// An attempt of a caller reaches its entry node.
    AttemptArrives(usize),
    /// The answer to an attempt reaches the caller; the flags are whether it was served and whether
    /// it was refused.
    ClientAnswered(usize, bool, bool),
    /// The timeout of an attempt expires at the caller.
    ClientTimeout(usize),
    /// A node sends a call again.
    CallRetried(usize),
    /// A call reaches the node next to its backend server.
    CallArrives(usize),
    /// The cancellation of a call reaches the node next to its backend server.
    CancelArrives(usize),
    /// Work on a backend server may be complete; ignored unless the generation is the current one.
    WorkEnds(usize, u64),
    /// An answer reaches the node that made the call.
    AnswerArrives(usize, CallAnswer),
    /// All nodes run their periodic tasks.
    Tick,
    /// The disturbance of the workload starts.
    DisturbanceStarts,
    /// The disturbance of the workload ends.
    DisturbanceEnds,
    /// The nodes remove the failed VMs from routing.
    VmsRemoved,
}

#[derive(Clone, Debug)]
struct QueuedEvent {
    at_us: u64,
    sequence: u64,
    event: SimulationEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

/// The scheduled events, by time and then in the order in which they were scheduled.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<QueuedEvent>>,
    sequence: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at_us: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.heap.push(Reverse(QueuedEvent {
            at_us,
            sequence: self.sequence,
            event,
        }));
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, SimulationEvent)> {
        let Reverse(queued) = self.heap.pop()?;
        Some((queued.at_us, queued.event))
    }
}
