use std::cell::RefCell;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use model::VmName;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use streams::{FollowAction, FollowSettings, PlatformLog, RelayBatch, RelayPull, StreamFeed};

use crate::change_notifier::ChangeNotifier;
use crate::node_clock::NodeClock;

/// What a host needs of its node.
pub(crate) trait StreamWatch {
    /// Learns that the stream brought news.
    fn on_news(&self, now: ClockTime);

    /// Asks another node.
    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch>;
}

/// Does the I/O for one stream of the platform's log.
pub(crate) struct StreamHost<F> {
    clock: NodeClock,
    feed: RefCell<F>,
    random: RefCell<SmallRng>,
    news: ChangeNotifier,
}

impl<F: StreamFeed> StreamHost<F> {
    pub(crate) fn new(clock: NodeClock, feed: F) -> Self {
        Self {
            clock,
            feed: RefCell::new(feed),
            random: RefCell::new(SmallRng::from_os_rng()),
            news: ChangeNotifier::default(),
        }
    }

    /// Calls a function with the feed.
    pub(crate) fn with<T>(&self, look: impl FnOnce(&mut F) -> T) -> T {
        look(&mut self.feed.borrow_mut())
    }

    /// Calls a function with the feed and random numbers.
    pub(crate) fn with_random<T>(&self, look: impl FnOnce(&mut F, &mut SmallRng) -> T) -> T {
        look(&mut self.feed.borrow_mut(), &mut self.random.borrow_mut())
    }

    /// Follows the stream, from the log and from other nodes, for as long as the node runs.
    pub(crate) async fn follow(&self, log: &impl PlatformLog, watch: &impl StreamWatch) {
        futures_util::join!(self.read_log(log, watch), self.pull_peers(watch));
    }

    /// Answers another node's question, once there is news or its wait is over.
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
            let _ = timeout(left, self.news.wait()).await;
        }
    }

    /// Reads the log, with another read beside one that has had no answer for long.
    async fn read_log(&self, log: &impl PlatformLog, watch: &impl StreamWatch) {
        let stream = self.feed.borrow().stream();
        let settings = FollowSettings::default();
        let mut reads = FuturesUnordered::new();
        let mut next_at = self.clock.now();
        loop {
            let asked = self.clock.now();
            if asked >= next_at && reads.len() < settings.max_reads {
                next_at = asked.plus_ms(settings.hedge_after_ms);
                match self.with_random(|feed, random| feed.next_read(asked, random)) {
                    FollowAction::Read { from, wait_ms } => reads.push(Box::pin(async move {
                        (asked, log.read(stream, from, wait_ms).await)
                    })),
                    FollowAction::Wait(until) => next_at = until,
                    FollowAction::Pull { .. } => {}
                }
            }
            if reads.is_empty() {
                self.sleep_until(next_at).await;
                continue;
            }
            let span_ms = asked.until_ms(next_at).max(1);
            let answer = timeout(Duration::from_millis(span_ms), reads.next()).await;
            let Ok(Some((asked, result))) = answer else {
                continue;
            };
            let now = self.clock.now();
            let take_in =
                |feed: &mut F, random: &mut SmallRng| feed.on_read(now, asked, result, random);
            self.take_in(watch, take_in);
            if reads.is_empty() {
                next_at = now;
            }
        }
    }

    async fn pull_peers(&self, watch: &impl StreamWatch) {
        loop {
            let asked = self.clock.now();
            let action = self.feed.borrow_mut().next_pull(asked);
            match action {
                FollowAction::Pull { peer, pull } => {
                    let batch = Box::pin(watch.pull(&peer, pull)).await;
                    let now = self.clock.now();
                    if let Some(batch) = batch {
                        self.take_in(watch, |feed, _| feed.on_batch(now, asked, batch));
                    } else {
                        self.with_random(|feed, random| feed.on_pull_failure(now, random));
                    }
                }
                FollowAction::Wait(until) => self.sleep_until(until).await,
                FollowAction::Read { .. } => self.sleep_until(asked).await,
            }
        }
    }

    /// Takes in an answer, and wakes the nodes that wait for records or for fresher news.
    fn take_in(&self, watch: &impl StreamWatch, take: impl FnOnce(&mut F, &mut SmallRng) -> bool) {
        let before = self.feed.borrow().fresh_at();
        let is_news = self.with_random(take);
        if is_news {
            watch.on_news(self.clock.now());
        }
        if is_news || self.feed.borrow().fresh_at() != before {
            self.news.notify();
        }
    }

    async fn sleep_until(&self, until: ClockTime) {
        let span_ms = self.clock.now().until_ms(until).max(1);
        sleep(Duration::from_millis(span_ms)).await;
    }
}
