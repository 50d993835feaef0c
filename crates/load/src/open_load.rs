use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use compio::time::{sleep, sleep_until, timeout};

use crate::load_client::LoadConnection;
use crate::load_error::LoadError;

/// The time between two bundles of requests, in milliseconds.
const TICK_MS: u64 = 10;
/// The time after which a client gives up, in milliseconds.
const CLIENT_LIMIT_MS: u64 = 1_000;
/// The sends of one request by a client that retries hard.
const HARD_SENDS: u32 = 4;
/// The time between two sends of a client that retries hard, in milliseconds.
const HARD_WAIT_MS: u64 = 10;

/// A demand over some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadPhase {
    pub(crate) span_s: u64,
    pub(crate) requests_per_s: u64,
}

/// Callers of one team that send whatever comes back, over connections that they keep open.
#[derive(Clone)]
pub(crate) struct OpenLoad {
    entries: Vec<SocketAddr>,
    path: &'static str,
    key: &'static str,
    retries_hard: bool,
    idle: Rc<RefCell<Vec<Vec<LoadConnection>>>>,
    tally: Rc<RefCell<LoadTally>>,
    started: Instant,
}

/// What became of the requests, by the second in which they were first sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTally {
    pub(crate) sent: Vec<u32>,
    pub(crate) good: Vec<u32>,
    pub(crate) sends: u32,
}

impl LoadTally {
    /// Returns the good answers to requests of the seconds from `first` up to `end`.
    pub(crate) fn good_in(&self, first: u64, end: u64) -> u32 {
        sum(&self.good, first, end)
    }

    /// Returns the requests of the seconds from `first` up to `end`.
    pub(crate) fn sent_in(&self, first: u64, end: u64) -> u32 {
        sum(&self.sent, first, end)
    }
}

fn sum(counts: &[u32], first: u64, end: u64) -> u32 {
    let seconds = (0..end).zip(counts);
    seconds
        .filter(|(second, _)| *second >= first)
        .map(|(_, count)| count)
        .sum()
}

impl OpenLoad {
    pub(crate) fn new(
        entries: Vec<SocketAddr>,
        path: &'static str,
        key: &'static str,
        retries_hard: bool,
    ) -> Self {
        let idle = entries.iter().map(|_| Vec::new()).collect();
        Self {
            entries,
            path,
            key,
            retries_hard,
            idle: Rc::new(RefCell::new(idle)),
            tally: Rc::default(),
            started: Instant::now(),
        }
    }

    /// Sends the requests of the phases, and returns what became of them.
    pub(crate) async fn run(self, phases: &[LoadPhase]) -> LoadTally {
        let mut number = 0;
        let mut phase_start = self.started;
        for phase in phases {
            let ticks = phase.span_s * 1_000 / TICK_MS;
            let total = phase.span_s * phase.requests_per_s;
            let mut sent = 0;
            for tick in 1..=ticks {
                sleep_until(phase_start + Duration::from_millis(tick * TICK_MS)).await;
                while sent < total * tick / ticks {
                    sent += 1;
                    number += 1;
                    spawn(self.clone().send_one(number)).detach();
                }
            }
            phase_start += Duration::from_secs(phase.span_s);
        }
        sleep(Duration::from_millis(CLIENT_LIMIT_MS)).await;
        self.tally.borrow().clone()
    }

    async fn send_one(self, number: usize) {
        let second = usize::try_from(self.started.elapsed().as_secs()).unwrap_or(0);
        {
            let mut tally = self.tally.borrow_mut();
            if tally.sent.len() <= second {
                tally.sent.resize(second + 1, 0);
                tally.good.resize(second + 1, 0);
            }
            tally.sent[second] += 1;
        }
        let limit = Duration::from_millis(CLIENT_LIMIT_MS);
        if let Ok(true) = timeout(limit, self.send_until_served(number)).await {
            self.tally.borrow_mut().good[second] += 1;
        }
    }

    async fn send_until_served(&self, number: usize) -> bool {
        let sends = if self.retries_hard { HARD_SENDS } else { 1 };
        for send in 0..sends as usize {
            self.tally.borrow_mut().sends += 1;
            let entry = (number + send) % self.entries.len();
            if matches!(self.send(entry).await, Ok(200)) {
                return true;
            }
            sleep(Duration::from_millis(HARD_WAIT_MS)).await;
        }
        false
    }

    async fn send(&self, entry: usize) -> Result<u16, LoadError> {
        let kept = self.idle.borrow_mut()[entry].pop();
        let mut connection = match kept {
            Some(connection) => connection,
            None => LoadConnection::open(self.entries[entry]).await?,
        };
        let answer = connection.get(self.path, self.key).await?;
        self.idle.borrow_mut()[entry].push(connection);
        Ok(answer.status)
    }
}
