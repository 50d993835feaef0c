//! Signals, restarts, departures and configurations that overlap, while callers keep using their
//! connections until the process is gone.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use futures_util::future::{join, join_all};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::InstanceServer;

use crate::platform_fleet::{KEY, PlatformFleet};
use crate::soak_caller::{CallerOutcome, SentRequest, SoakCaller};

/// The number of seeds of each kind, unless `LENTILSHIFT_SEEDS` is set.
const DEFAULT_SEEDS: u64 = 2;
/// The time for which events are caused.
const SOAK_TIME: Duration = Duration::from_secs(10);
/// The time after the last event until all nodes have ended their stops.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// The callers of each node.
const CALLERS_PER_NODE: usize = 3;
/// How long an instance works on a request, in milliseconds.
const RUN_MS: u64 = 120;
/// The time after a confirmed departure from which no request may reach the instance.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The time from a departure to the next start of the instance.
const GONE_TIME: Duration = Duration::from_secs(5);
/// The statuses that promise that a request hasn't run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The kinds of events of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakKind {
    /// Stops, signals, departures and configurations.
    Planned,
    /// The same, and kills.
    Kills,
}

/// A time in which no request may reach an instance.
#[derive(Clone, Copy, Debug)]
struct DepartedSpan {
    instance: usize,
    from: Instant,
    until: Instant,
}

/// The events of one soak.
struct SoakEvents {
    fleet: PlatformFleet,
    random: SmallRng,
    kind: SoakKind,
    is_stopping: Vec<bool>,
    /// When the instance of each node has left, if it has, and whether that was confirmed.
    departed_at: Vec<Option<(Instant, bool)>>,
    departed: Vec<DepartedSpan>,
    version: u64,
}

impl SoakEvents {
    /// Causes events until the time is over, and waits until the nodes have ended their stops.
    async fn run(&mut self) {
        let until = Instant::now() + SOAK_TIME;
        while Instant::now() < until {
            self.cause_event().await;
            let pause_ms = self.random.random_range(0..700);
            self.settle(Duration::from_millis(pause_ms)).await;
        }
        self.settle(SETTLE_TIME).await;
    }

    /// Starts nodes and instances again that have ended or left, for some time.
    async fn settle(&mut self, span: Duration) {
        let until = Instant::now() + span;
        loop {
            for node in 0..self.fleet.len() {
                if self.is_stopping[node]
                    && let Some(status) = self.fleet.ended(node)
                {
                    assert!(status.success(), "node {node} ended with {status}");
                    self.fleet.spawn(node);
                    self.is_stopping[node] = false;
                }
                self.start_anew(node);
            }
            if Instant::now() >= until {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts an instance anew that has been gone for long enough.
    fn start_anew(&mut self, instance: usize) {
        let Some((left_at, is_confirmed)) = self.departed_at[instance] else {
            return;
        };
        if left_at.elapsed() < GONE_TIME {
            return;
        }
        if is_confirmed {
            self.departed.push(DepartedSpan {
                instance,
                from: left_at + DRAIN_TIME,
                until: Instant::now(),
            });
        }
        self.departed_at[instance] = None;
        self.fleet.instances[instance].start_anew();
    }

    async fn cause_event(&mut self) {
        let node = self.random.random_range(0..self.fleet.len());
        match self.random.random_range(0..10) {
            0..2 => self.stop(node).await,
            2..5 => {
                let pause = Duration::from_micros(self.random.random_range(0..600));
                self.fleet.signal_twice(node, "-HUP", pause);
            }
            5..8 => self.depart(node).await,
            8 => {
                self.version += 1;
                self.fleet.publish(self.version, KEY, "/records/");
            }
            _ if self.kind == SoakKind::Kills => {
                self.fleet.kill(node);
                self.fleet.spawn(node);
                self.is_stopping[node] = false;
            }
            _ => self.fleet.signal(node, "-HUP"),
        }
    }

    /// Signals a node to stop, often more than once.
    async fn stop(&mut self, node: usize) {
        self.is_stopping[node] = true;
        self.fleet.signal(node, "-TERM");
        for signal in ["-TERM", "-INT", "-HUP"] {
            if self.random.random_bool(0.5) {
                let pause_ms = self.random.random_range(0..300);
                sleep(Duration::from_millis(pause_ms)).await;
                if self.fleet.ended(node).is_none() {
                    self.fleet.signal(node, signal);
                }
            }
        }
    }

    /// Has an instance leave; its delayed reports go on to say that it is ready.
    async fn depart(&mut self, node: usize) {
        let is_only = self.departed_at.iter().any(Option::is_some);
        if is_only || self.departed_at[node].is_some() {
            return;
        }
        let address = self.fleet.report_address(node);
        let instance = Rc::clone(&self.fleet.instances[node]);
        let is_confirmed = if self.random.random_bool(0.5) {
            instance.depart(address).await
        } else {
            instance.report(address, "draining").await
        };
        self.departed_at[node] = Some((Instant::now(), is_confirmed));
    }
}

/// Returns the number of runs of a request.
fn run_count(instances: &[Rc<InstanceServer>], request: &SentRequest) -> usize {
    let runs = instances.iter().flat_map(|instance| instance.runs());
    runs.filter(|run| run.path == request.path).count()
}

/// Describes how a request broke a rule, if it did.
fn broken_rule(request: &SentRequest, runs: usize, kind: SoakKind) -> Option<String> {
    if !request.is_safe && runs > 1 {
        return Some(format!("TWICE: {runs} runs of {request:?}"));
    }
    match &request.outcome {
        CallerOutcome::Foreign(_) => Some(format!("MIXED: {request:?}")),
        CallerOutcome::Answered(status) if NOT_RUN_STATUSES.contains(status) && runs > 0 => {
            (!request.is_safe).then(|| format!("REFUSED: {runs} runs of {request:?}"))
        }
        CallerOutcome::Cut if runs > 0 && kind == SoakKind::Planned => {
            Some(format!("LOST: {request:?}"))
        }
        CallerOutcome::Answered(_) | CallerOutcome::Cut => None,
    }
}

/// Describes the requests that reached an instance after its departure.
fn arrivals_after_departure(events: &SoakEvents) -> Vec<String> {
    let mut arrivals = Vec::new();
    for span in &events.departed {
        for run in events.fleet.instances[span.instance].runs() {
            if run.arrived > span.from && run.arrived < span.until {
                let late_ms = (run.arrived - span.from + DRAIN_TIME).as_millis();
                arrivals.push(format!("DRAIN: {} after {late_ms} ms", run.path));
            }
        }
    }
    arrivals
}

async fn soak(kind: SoakKind, seed: u64) {
    let fleet = PlatformFleet::start().await;
    for instance in &fleet.instances {
        instance.set_run_ms(RUN_MS);
    }
    let count = fleet.len();
    let is_over = Rc::new(Cell::new(false));
    let callers = (0..count * CALLERS_PER_NODE).map(|number| {
        let caller = SoakCaller {
            number,
            address: fleet.caller_address(number % count),
            is_over: Rc::clone(&is_over),
        };
        caller.run()
    });
    let calling = join_all(callers.collect::<Vec<_>>());
    let mut events = SoakEvents {
        fleet,
        random: SmallRng::seed_from_u64(seed),
        kind,
        is_stopping: vec![false; count],
        departed_at: vec![None; count],
        departed: Vec::new(),
        version: 4,
    };
    let causing = async {
        events.run().await;
        is_over.set(true);
    };
    let (sent, ()) = join(calling, causing).await;
    let sent: Vec<SentRequest> = sent.into_iter().flatten().collect();
    let instances = &events.fleet.instances;
    let broken = sent.iter().filter_map(|request| {
        let runs = run_count(instances, request);
        broken_rule(request, runs, kind)
    });
    let broken: Vec<String> = broken.chain(arrivals_after_departure(&events)).collect();
    assert!(broken.is_empty(), "{kind:?}, seed {seed}: {broken:#?}");
    let is_served = |request: &&SentRequest| request.outcome == CallerOutcome::Answered(200);
    let served = sent.iter().filter(is_served).count();
    println!(
        "{kind:?}, seed {seed}: {served} of {} answered 200",
        sent.len()
    );
    assert!(served > 0, "{kind:?}, seed {seed}: no request was served");
}

/// Guards against requests that are cut, run twice or reach an instance that has left, when signals,
/// restarts, departures and configurations overlap.
#[rstest]
#[case::planned(SoakKind::Planned)]
#[case::kills(SoakKind::Kills)]
#[compio::test]
async fn overlapping_changes_break_no_promise(#[case] kind: SoakKind) {
    let raised = std::env::var("LENTILSHIFT_SEEDS").ok();
    let seeds = raised.and_then(|count| count.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        soak(kind, seed).await;
    }
}
