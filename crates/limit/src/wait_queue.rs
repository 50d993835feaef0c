use std::collections::BTreeMap;

use clock::ClockTime;
use model::{AttemptId, ShedClass, ShedOrder, TeamName};

use crate::{QueueSettings, QueueTicket};

/// A waiting request, with its arrival time.
#[derive(Clone, Debug)]
pub(crate) struct WaitEntry {
    pub(crate) ticket: QueueTicket,
    pub(crate) arrived: ClockTime,
    sequence: u64,
}

/// The start order of a waiting request; the greatest starts first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StartRank {
    class: ShedClass,
    turn: std::cmp::Reverse<u64>,
    is_nested: bool,
    order: ShedOrder,
    age: std::cmp::Reverse<u64>,
}

/// The virtual time that one request of a team of weight 1 takes up in fair queueing.
const TURN_LENGTH: u64 = 1 << 20;

/// The requests that wait for a slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitQueue {
    entries: Vec<WaitEntry>,
    /// The virtual start time of the next request of each team that is ahead of `virtual_time`.
    turns: BTreeMap<Option<TeamName>, u64>,
    virtual_time: u64,
    sequence: u64,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn push(&mut self, ticket: QueueTicket, now: ClockTime) {
        self.sequence += 1;
        self.entries.push(WaitEntry {
            ticket,
            arrived: now,
            sequence: self.sequence,
        });
    }

    pub(crate) fn remove(&mut self, id: AttemptId) -> bool {
        let len = self.entries.len();
        self.entries.retain(|entry| entry.ticket.id != id);
        self.entries.len() < len
    }

    /// Returns the waiting work, in milliseconds.
    pub(crate) fn work_ms(&self) -> f64 {
        self.entries
            .iter()
            .map(|entry| entry.ticket.work_ms())
            .sum()
    }

    /// Returns the waiting work of each class and those above it in milliseconds, the least
    /// important first.
    pub(crate) fn class_work_ms(&self) -> [f64; ShedClass::COUNT] {
        let mut work_ms = [0.0; ShedClass::COUNT];
        for entry in &self.entries {
            for sum in &mut work_ms[..=entry.ticket.order.class().index()] {
                *sum += entry.ticket.work_ms();
            }
        }
        work_ms
    }

    /// Returns the number of requests that would start before a new one, and their work in
    /// milliseconds.
    pub(crate) fn before(&self, ticket: &QueueTicket, settings: &QueueSettings) -> (usize, f64) {
        let class = ticket.order.class();
        let ahead =
            |entry: &&WaitEntry| !settings.orders_by_class || entry.ticket.order.class() >= class;
        self.entries
            .iter()
            .filter(ahead)
            .fold((0, 0.0), |(count, work_ms), entry| {
                (count + 1, work_ms + entry.ticket.work_ms())
            })
    }

    /// Removes and returns every request for which `is_late` holds.
    pub(crate) fn drain_late(&mut self, is_late: impl Fn(&WaitEntry) -> bool) -> Vec<WaitEntry> {
        self.entries
            .extract_if(.., |entry| is_late(entry))
            .collect()
    }

    /// Returns the arrival time of the oldest request.
    pub(crate) fn oldest(&self) -> Option<ClockTime> {
        self.entries.iter().map(|entry| entry.arrived).min()
    }

    /// Removes and returns the request that starts next.
    pub(crate) fn pop(&mut self, settings: &QueueSettings, is_late: bool) -> Option<WaitEntry> {
        let position = self
            .entries
            .iter()
            .enumerate()
            .max_by_key(|(_, entry)| self.rank(entry, settings, is_late))
            .map(|(position, _)| position)?;
        let entry = self.entries.swap_remove(position);
        self.charge(&entry.ticket);
        Some(entry)
    }

    /// Advances the turn of a team by a request that starts.
    pub(crate) fn charge(&mut self, ticket: &QueueTicket) {
        let turn = self.turn_of(ticket.team.as_ref());
        self.virtual_time = self
            .virtual_time
            .max(turn.min(self.virtual_time + TURN_LENGTH));
        let next = turn + TURN_LENGTH / u64::from(ticket.team_weight.max(1));
        self.turns.insert(ticket.team.clone(), next);
        let virtual_time = self.virtual_time;
        self.turns.retain(|_, turn| *turn > virtual_time);
    }

    fn turn_of(&self, team: Option<&TeamName>) -> u64 {
        let turn = self.turns.get(&team.cloned()).copied().unwrap_or(0);
        turn.max(self.virtual_time)
    }

    fn rank(&self, entry: &WaitEntry, settings: &QueueSettings, is_late: bool) -> StartRank {
        let ticket = &entry.ticket;
        let turn = if settings.shares_by_team {
            self.turn_of(ticket.team.as_ref())
        } else {
            0
        };
        StartRank {
            class: if settings.orders_by_class {
                ticket.order.class()
            } else {
                ShedClass::FIRST
            },
            turn: std::cmp::Reverse(turn),
            is_nested: settings.prioritizes_nested && ticket.is_nested(),
            order: if settings.orders_by_rank && is_late {
                ticket.order
            } else {
                ShedOrder::FIRST
            },
            age: std::cmp::Reverse(entry.sequence),
        }
    }
}
