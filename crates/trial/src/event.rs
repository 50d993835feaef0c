use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::call::CallAnswer;

/// Something that happens in the trial.
#[derive(Clone, Debug)]
pub(crate) enum TrialEvent {
    /// The next request of the arrival process is due.
    NextArrival,
    /// A caller sends a request again.
    Resend(usize),
    /// A try of a caller reaches its entry node.
    EntryArrives(usize),
    /// A try gets its answer.
    ClientAnswered(usize, bool, bool),
    /// A caller gives up waiting for a try.
    ClientTimeout(usize),
    /// A node sends a call again.
    CallRetried(usize),
    /// A call reaches the node beside its backend server.
    CallArrives(usize),
    /// A cancellation reaches the node beside a backend server.
    CancelArrives(usize),
    /// Own work on a backend server may have ended.
    WorkEnds(usize, u64),
    /// An answer reaches the node that made the call.
    AnswerArrives(usize, CallAnswer),
    /// All nodes do their periodic work.
    Tick,
    /// The cause sets in.
    StrainStarts,
    /// The cause ends.
    StrainEnds,
    /// The nodes learn that VMs are gone.
    VmsForgotten,
}

#[derive(Clone, Debug)]
struct QueuedEvent {
    at_us: u64,
    sequence: u64,
    event: TrialEvent,
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

/// The events to come, by time and then by order of planning.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<QueuedEvent>>,
    sequence: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at_us: u64, event: TrialEvent) {
        self.sequence += 1;
        self.heap.push(Reverse(QueuedEvent {
            at_us,
            sequence: self.sequence,
            event,
        }));
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, TrialEvent)> {
        let Reverse(queued) = self.heap.pop()?;
        Some((queued.at_us, queued.event))
    }
}
