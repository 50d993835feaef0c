use std::cell::RefCell;
use std::pin::pin;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use futures_util::stream::FuturesUnordered;
use model::VmName;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use streams::{
    FollowAction, FollowSettings, LogEra, LogStream, PlatformLog, RelayBatch, RelayPull, StreamFeed,
};

use crate::change_notifier::ChangeNotifier;
use crate::node_clock::NodeClock;

/// The callbacks by which a [`StreamHost`] reaches its node.
pub(crate) trait StreamWatch {
    /// Is called after the stream has brought an update.
    fn on_update(&self, now: ClockTime);

    /// Is called after the log was found to have come back without its last records.
    fn on_went_back(&self, stream: LogStream, era: LogEra);

    /// Pulls the next records from another node; `None` means that it failed.
    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch>;
}

/// Does the I/O for one stream of the platform's log: reads the log, pulls from other nodes, and
/// answers their pulls.
pub(crate) struct StreamHost<F> {
    clock: NodeClock,
    feed: RefCell<F>,
    random: RefCell<SmallRng>,
    updates: ChangeNotifier,
    /// Notifies of an era that another stream has shown.
    eras: ChangeNotifier,
}

impl<F: StreamFeed> StreamHost<F> {
    pub(crate) fn new(clock: NodeClock, feed: F) -> Self {
        Self {
            clock,
            feed: RefCell::new(feed),
            random: RefCell::new(SmallRng::from_os_rng()),
            updates: ChangeNotifier::default(),
            eras: ChangeNotifier::default(),
        }
    }

    /// Calls a function with the feed.
    pub(crate) fn with<T>(&self, access: impl FnOnce(&mut F) -> T) -> T {
        access(&mut self.feed.borrow_mut())
    }

    /// Calls a function with the feed and random numbers.
    pub(crate) fn with_random<T>(&self, access: impl FnOnce(&mut F, &mut SmallRng) -> T) -> T {
        access(&mut self.feed.borrow_mut(), &mut self.random.borrow_mut())
    }

    /// Enters an era that another stream has shown, and returns whether the log has come back since
    /// the last answer of this one. A read in flight is not waited for.
    pub(crate) fn on_era(&self, now: ClockTime, era: LogEra) -> bool {
        let went_back = self.with(|feed| feed.on_era(now, era));
        if went_back {
            self.eras.notify();
        }
        went_back
    }

    /// Waits until the stream has brought an update or a later time of the last one.
    pub(crate) async fn updated(&self) {
        self.updates.wait().await;
    }

    /// Follows the stream, from the log and from other nodes, for as long as the node runs.
    pub(crate) async fn follow(&self, log: &impl PlatformLog, watch: &impl StreamWatch) {
        futures_util::join!(self.read_log(log, watch), self.pull_peers(watch));
    }

    /// Answers a pull from another node, once there is an update or the time it may wait is over.
    pub(crate) async fn answer(&self, pull: &RelayPull) -> RelayBatch {
        let arrived = self.clock.now();
        loop {
            let now = self.clock.now();
            let held_ms = now.since_ms(arrived);
            let has_update = self.feed.borrow().has_update(now, pull, held_ms);
            if has_update || held_ms >= pull.wait_ms {
                let batch = self.feed.borrow().answer(now, pull);
                return batch.held_ms(held_ms);
            }
            let left = Duration::from_millis(pull.wait_ms - held_ms);
            let _ = timeout(left, self.updates.wait()).await;
        }
    }

    /// Reads the log, and hedges a read that hasn't been answered for long with another one.
    async fn read_log(&self, log: &impl PlatformLog, watch: &impl StreamWatch) {
        let stream = self.feed.borrow().stream();
        let settings = FollowSettings::default();
        let mut reads = FuturesUnordered::new();
        let mut next_at = self.clock.now();
        loop {
            let requested_at = self.clock.now();
            if requested_at >= next_at && reads.len() < settings.max_reads {
                next_at = requested_at.plus_ms(settings.hedge_after_ms);
                match self.with_random(|feed, random| feed.next_read(requested_at, random)) {
                    FollowAction::Read { from, wait_ms } => reads.push(Box::pin(async move {
                        (requested_at, log.read(stream, from, wait_ms).await)
                    })),
                    FollowAction::Wait(until) => next_at = until,
                    FollowAction::Pull { .. } => {}
                }
            }
            if reads.is_empty() {
                self.sleep_until(next_at).await;
                continue;
            }
            let span_ms = requested_at.until_ms(next_at).max(1);
            let era_wait = pin!(self.eras.wait());
            let next_answer = select(reads.next(), era_wait);
            let answer = timeout(Duration::from_millis(span_ms), next_answer).await;
            let (requested_at, result) = match answer {
                Ok(Either::Left((Some(answer), _))) => answer,
                Ok(Either::Right(_)) => {
                    next_at = self.clock.now();
                    continue;
                }
                Ok(Either::Left((None, _))) | Err(_) => continue,
            };
            let now = self.clock.now();
            let change = |feed: &mut F, random: &mut SmallRng| {
                feed.on_read(now, requested_at, result, random)
            };
            self.apply(watch, change);
            if reads.is_empty() {
                next_at = now;
            }
        }
    }

    async fn pull_peers(&self, watch: &impl StreamWatch) {
        loop {
            let requested_at = self.clock.now();
            let action = self.feed.borrow_mut().next_pull(requested_at);
            match action {
                FollowAction::Pull { peer, pull } => {
                    let batch = Box::pin(watch.pull(&peer, pull)).await;
                    let now = self.clock.now();
                    if let Some(batch) = batch {
                        self.apply(watch, |feed, _| feed.on_batch(now, requested_at, batch));
                    } else {
                        self.with_random(|feed, random| feed.on_pull_failure(now, random));
                    }
                }
                FollowAction::Wait(until) => self.sleep_until(until).await,
                FollowAction::Read { .. } => self.sleep_until(requested_at).await,
            }
        }
    }

    /// Applies a change to the feed, and wakes the pulls that wait for records or for a newer
    /// update.
    fn apply(&self, watch: &impl StreamWatch, change: impl FnOnce(&mut F, &mut SmallRng) -> bool) {
        let before = self.feed.borrow().fresh_at();
        let (stream, known) = self.with(|feed| (feed.stream(), feed.known_era()));
        let is_update = self.with_random(change);
        let era = self.feed.borrow().known_era();
        if let (Some(known), Some(era)) = (known, era)
            && era > known
        {
            watch.on_went_back(stream, era);
        }
        if is_update {
            watch.on_update(self.clock.now());
        }
        if is_update || self.feed.borrow().fresh_at() != before {
            self.updates.notify();
        }
    }

    async fn sleep_until(&self, until: ClockTime) {
        let span_ms = self.clock.now().until_ms(until).max(1);
        sleep(Duration::from_millis(span_ms)).await;
    }
}
