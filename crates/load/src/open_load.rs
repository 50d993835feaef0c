use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use compio::time::{sleep, sleep_until, timeout};

use crate::load_client::LoadConnection;
use crate::load_error::LoadError;

/// The interval between two batches of requests, in milliseconds.
const BATCH_INTERVAL_MS: u64 = 10;
/// The timeout of a client for one request with its resends, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 1_000;
/// The most times that a client with aggressive retries sends one request.
const AGGRESSIVE_SENDS: u32 = 4;
/// The delay before an aggressive retry, in milliseconds.
const AGGRESSIVE_DELAY_MS: u64 = 10;

/// A period of constant demand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadPhase {
    pub(crate) duration_s: u64,
    pub(crate) requests_per_s: u64,
}

/// Open-loop load: callers of one team that send at a given rate, independently of the answers, and
/// reuse their connections.
#[derive(Clone)]
pub(crate) struct OpenLoad {
    entries: Vec<SocketAddr>,
    path: &'static str,
    key: &'static str,
    retries_aggressively: bool,
    idle_connections: Rc<RefCell<Vec<Vec<LoadConnection>>>>,
    tally: Rc<RefCell<LoadTally>>,
    started: Instant,
}

/// Counts of requests sent and served, by the second in which each was first sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadTally {
    pub(crate) sent: Vec<u32>,
    pub(crate) served: Vec<u32>,
    pub(crate) sends: u32,
}

impl LoadTally {
    /// Returns the number of requests served of those first sent in the seconds `first..end`.
    pub(crate) fn served_in(&self, first: u64, end: u64) -> u32 {
        sum_seconds(&self.served, first, end)
    }

    /// Returns the number of requests first sent in the seconds `first..end`.
    pub(crate) fn sent_in(&self, first: u64, end: u64) -> u32 {
        sum_seconds(&self.sent, first, end)
    }
}

fn sum_seconds(counts: &[u32], first: u64, end: u64) -> u32 {
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
        retries_aggressively: bool,
    ) -> Self {
        let idle_connections = entries.iter().map(|_| Vec::new()).collect();
        Self {
            entries,
            path,
            key,
            retries_aggressively,
            idle_connections: Rc::new(RefCell::new(idle_connections)),
            tally: Rc::default(),
            started: Instant::now(),
        }
    }

    /// Sends the requests of all phases and returns the counts.
    pub(crate) async fn run(self, phases: &[LoadPhase]) -> LoadTally {
        let mut index = 0;
        let mut phase_start = self.started;
        for phase in phases {
            let batches = phase.duration_s * 1_000 / BATCH_INTERVAL_MS;
            let total = phase.duration_s * phase.requests_per_s;
            let mut sent = 0;
            for batch in 1..=batches {
                sleep_until(phase_start + Duration::from_millis(batch * BATCH_INTERVAL_MS)).await;
                while sent < total * batch / batches {
                    sent += 1;
                    index += 1;
                    spawn(self.clone().send_one(index)).detach();
                }
            }
            phase_start += Duration::from_secs(phase.duration_s);
        }
        sleep(Duration::from_millis(CLIENT_TIMEOUT_MS)).await;
        self.tally.borrow().clone()
    }

    async fn send_one(self, index: usize) {
        let second = usize::try_from(self.started.elapsed().as_secs()).unwrap_or(0);
        {
            let mut tally = self.tally.borrow_mut();
            if tally.sent.len() <= second {
                tally.sent.resize(second + 1, 0);
                tally.served.resize(second + 1, 0);
            }
            tally.sent[second] += 1;
        }
        let client_timeout = Duration::from_millis(CLIENT_TIMEOUT_MS);
        if let Ok(true) = timeout(client_timeout, self.send_until_served(index)).await {
            self.tally.borrow_mut().served[second] += 1;
        }
    }

    async fn send_until_served(&self, index: usize) -> bool {
        let sends = if self.retries_aggressively {
            AGGRESSIVE_SENDS
        } else {
            1
        };
        for send in 0..sends as usize {
            self.tally.borrow_mut().sends += 1;
            let entry = (index + send) % self.entries.len();
            if matches!(self.send(entry).await, Ok(200)) {
                return true;
            }
            sleep(Duration::from_millis(AGGRESSIVE_DELAY_MS)).await;
        }
        false
    }

    async fn send(&self, entry: usize) -> Result<u16, LoadError> {
        let pooled = self.idle_connections.borrow_mut()[entry].pop();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => LoadConnection::open(self.entries[entry]).await?,
        };
        let answer = connection.get(self.path, self.key).await?;
        self.idle_connections.borrow_mut()[entry].push(connection);
        Ok(answer.status)
    }
}
