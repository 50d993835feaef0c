use std::cell::RefCell;
use std::time::Duration;

use clock::ClockTime;
use compio::time::{sleep, timeout};
use model::VmName;
use platform::{
    CentreOutage, FollowAction, FollowNews, FollowSettings, LogStream, PlatformLog, ReadError,
    RecordRelay, RelayBatch, RelayPlan, RelayPull, RelaySettings, StreamFollower,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::news_bell::NewsBell;
use crate::node_clock::NodeClock;
use crate::stream_state::StreamState;

/// What a host tells its owner about reads, news and pulls.
pub(crate) trait StreamWatch {
    /// Learns that the log is asked.
    fn on_read_start(&self, _now: ClockTime) {}

    /// Learns that a read ended.
    fn on_read_end(&self, _now: ClockTime, _is_good: bool) {}

    /// Learns of failures that another node tells of, on a question asked at `asked`.
    fn on_outages(&self, _asked: ClockTime, _outages: &[CentreOutage]) {}

    /// Returns the failures to tell other nodes of.
    fn outages(&self, _now: ClockTime) -> Vec<CentreOutage> {
        Vec::new()
    }

    /// Learns that the state changed.
    fn on_change(&self, now: ClockTime);

    /// Asks another node.
    async fn pull(&self, peer: &VmName, pull: RelayPull) -> Option<RelayBatch>;
}

/// Follows one stream of the platform's log, folds it, and hands it on to other nodes.
pub(crate) struct StreamHost<S> {
    clock: NodeClock,
    follower: RefCell<StreamFollower>,
    relay: RefCell<RecordRelay>,
    state: RefCell<S>,
    random: RefCell<SmallRng>,
    news: NewsBell,
}

impl<S: StreamState> StreamHost<S> {
    pub(crate) fn new(clock: NodeClock, stream: LogStream, state: S) -> Self {
        Self {
            clock,
            follower: RefCell::new(StreamFollower::new(stream, FollowSettings::default())),
            relay: RefCell::new(RecordRelay::new(stream, RelaySettings::default())),
            state: RefCell::new(state),
            random: RefCell::new(SmallRng::from_os_rng()),
            news: NewsBell::default(),
        }
    }

    /// Calls a function with the state.
    pub(crate) fn with_state<T>(&self, look: impl FnOnce(&mut S) -> T) -> T {
        look(&mut self.state.borrow_mut())
    }

    pub(crate) fn set_plan(&self, plan: RelayPlan) {
        self.follower.borrow_mut().set_plan(plan);
    }

    pub(crate) fn fresh_at(&self) -> Option<ClockTime> {
        self.follower.borrow().fresh_at()
    }

    /// Waits until the stream brings something new.
    pub(crate) async fn wait_for_news(&self) {
        self.news.wait().await;
    }

    /// Returns the oldest offset that the log was seen to keep.
    pub(crate) fn first(&self) -> platform::LogOffset {
        self.follower.borrow().first()
    }

    /// Returns the offset of the first record not yet applied.
    pub(crate) fn next(&self) -> platform::LogOffset {
        self.follower.borrow().next()
    }

    /// Reads the log for as long as the node runs.
    pub(crate) async fn read_log(&self, log: &impl PlatformLog, watch: &impl StreamWatch) {
        loop {
            let now = self.clock.now();
            let action = {
                let mut random = self.random.borrow_mut();
                self.follower.borrow_mut().next_read(now, &mut *random)
            };
            match action {
                FollowAction::Read { from, wait_ms } => {
                    watch.on_read_start(now);
                    let stream = self.follower.borrow().stream();
                    let result = log.read(stream, from, wait_ms).await;
                    let is_good = matches!(result, Ok(_) | Err(ReadError::Gone { .. }));
                    watch.on_read_end(self.clock.now(), is_good);
                    let news = {
                        let mut random = self.random.borrow_mut();
                        let mut follower = self.follower.borrow_mut();
                        follower.on_read(self.clock.now(), now, result, &mut *random)
                    };
                    self.take(&news, watch);
                }
                FollowAction::Wait(until) => self.sleep_until(until).await,
                FollowAction::Pull { .. } => {}
            }
        }
    }

    /// Asks other nodes for as long as the node runs.
    pub(crate) async fn pull_peers(&self, watch: &impl StreamWatch) {
        loop {
            let asked = self.clock.now();
            let action = self.follower.borrow_mut().next_pull(asked);
            match action {
                FollowAction::Pull { peer, pull } => {
                    let batch = watch.pull(&peer, pull).await;
                    let now = self.clock.now();
                    if let Some(batch) = batch {
                        watch.on_outages(asked, &batch.outages);
                        let news = self.follower.borrow_mut().on_batch(now, asked, batch);
                        self.take(&news, watch);
                    } else {
                        let mut random = self.random.borrow_mut();
                        let mut follower = self.follower.borrow_mut();
                        follower.on_pull_failure(now, &mut *random);
                    }
                }
                FollowAction::Wait(until) => self.sleep_until(until).await,
                FollowAction::Read { .. } => {}
            }
        }
    }

    /// Answers another node's question, once there is news or its wait is over.
    pub(crate) async fn answer(&self, pull: &RelayPull, watch: &impl StreamWatch) -> RelayBatch {
        if !self.relay.borrow().has_news(pull) {
            let _ = timeout(Duration::from_millis(pull.wait_ms), self.news.wait()).await;
        }
        let now = self.clock.now();
        let fresh_at = self.fresh_at();
        let relay = self.relay.borrow();
        relay.answer(now, pull, fresh_at, watch.outages(now), || {
            self.state.borrow().snapshot()
        })
    }

    fn take(&self, news: &FollowNews, watch: &impl StreamWatch) {
        let now = self.clock.now();
        let is_news =
            news.lost_before.is_some() || news.snapshot.is_some() || !news.records.is_empty();
        if !is_news {
            return;
        }
        let mut state = self.state.borrow_mut();
        let mut relay = self.relay.borrow_mut();
        if let Some(first) = news.lost_before {
            state.lose_before(now, first);
            relay.skip_to(first);
        }
        if let Some(snapshot) = &news.snapshot {
            state.adopt(now, snapshot);
            let next = relay.next().max(snapshot.covers);
            relay.skip_to(next);
        }
        for record in &news.records {
            state.apply(now, record);
            relay.push(record.clone());
        }
        let needs_snapshot = state.needs_snapshot();
        drop((state, relay));
        self.follower
            .borrow_mut()
            .set_needs_snapshot(needs_snapshot);
        watch.on_change(now);
        self.news.ring();
    }

    async fn sleep_until(&self, until: ClockTime) {
        let span_ms = self.clock.now().until_ms(until).max(1);
        sleep(Duration::from_millis(span_ms)).await;
    }
}
