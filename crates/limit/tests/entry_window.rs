//! Replays a load of 2.2 times the capacity of a service deep in the chain, and compares entries
//! with windows against entries that admit everything.

use std::collections::VecDeque;

use clock::ClockTime;
use lentilshift_limit::{EntryWindows, WindowSettings};
use model::{CallImportance, ShedClass};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// The number of nodes at which requests enter.
const ENTRIES: usize = 15;
/// The number of entry nodes at which each window holds only one or two requests, as with teams of
/// several classes.
const MANY_ENTRIES: usize = 75;
/// The number of calls that the deep service runs at once.
const DEEP_SLOTS: usize = 93;
/// The run time of a call at the deep service, in milliseconds.
const DEEP_MS: u64 = 40;
/// The number of sequential calls to the deep service in each call chain of a request.
const DEEP_CALLS: u32 = 4;
/// The number of call chains that a request runs in parallel.
const PARALLEL_CHAINS: u32 = 2;
/// The time that a request takes before its first call, in milliseconds.
const FRONT_MS: u64 = 200;
/// The allowed time of a request, in milliseconds.
const ALLOWED_MS: u64 = 1_000;
/// The offered requests per second: 2.2 times the capacity of 93 slots, at 320 ms of work per
/// request.
const REQUESTS_PER_S: f64 = 2.2 * 93_000.0 / 320.0;
/// The length of a replay, in milliseconds.
const REPLAY_MS: u64 = 20_000;
/// The time from which requests are counted, in milliseconds; 15 s of the replay remain then.
const COUNT_FROM_MS: u64 = 5_000;

/// The load after an overload, as a fraction of the capacity of the deep service.
const CALM_LOAD: f64 = 0.7;
/// The target of recovery: 95 % of normal within this time, in milliseconds.
const RECOVERY_MS: u64 = 2_000;

/// An admitted request.
struct ChainRequest {
    entry: usize,
    started: u64,
    chains_left: u32,
    is_lost: bool,
}

/// A call to the deep service, or the delay before the first one.
#[derive(Clone, Copy)]
struct DeepCall {
    request: usize,
    calls_left: u32,
    ends: u64,
}

/// The deep service and all requests in progress.
#[derive(Default)]
struct ChainSimulation {
    requests: Vec<ChainRequest>,
    starting: VecDeque<DeepCall>,
    waiting: VecDeque<DeepCall>,
    running: Vec<DeepCall>,
    served: u32,
    lost: u32,
}

impl ChainSimulation {
    fn begin(&mut self, entry: usize, now: u64) {
        let request = self.requests.len();
        self.requests.push(ChainRequest {
            entry,
            started: now,
            chains_left: PARALLEL_CHAINS,
            is_lost: false,
        });
        let first = DeepCall {
            request,
            calls_left: DEEP_CALLS,
            ends: now + FRONT_MS,
        };
        self.starting.extend([first; PARALLEL_CHAINS as usize]);
    }

    /// Advances by one millisecond, and returns the requests that ended.
    fn step(&mut self, now: u64) -> Vec<usize> {
        let mut ended = Vec::new();
        while self.starting.front().is_some_and(|call| call.ends <= now) {
            self.waiting.extend(self.starting.pop_front());
        }
        let (done, running) = self.running.iter().partition(|call| call.ends <= now);
        self.running = running;
        for call in done {
            self.finish_call(call, &mut ended);
        }
        while self.running.len() < DEEP_SLOTS
            && let Some(call) = self.waiting.pop_front()
        {
            self.start_call(call, now, &mut ended);
        }
        ended
    }

    fn finish_call(&mut self, call: DeepCall, ended: &mut Vec<usize>) {
        if call.calls_left > 1 {
            let calls_left = call.calls_left - 1;
            self.waiting.push_back(DeepCall { calls_left, ..call });
            return;
        }
        let request = &mut self.requests[call.request];
        request.chains_left -= 1;
        if request.chains_left == 0 && !request.is_lost {
            ended.push(call.request);
        }
    }

    /// Runs a call, or refuses it if its request can't finish in time any more.
    fn start_call(&mut self, call: DeepCall, now: u64, ended: &mut Vec<usize>) {
        let request = &mut self.requests[call.request];
        if request.is_lost {
            return;
        }
        if now + DEEP_MS > request.started + ALLOWED_MS {
            request.is_lost = true;
            ended.push(call.request);
            return;
        }
        let ends = now + DEEP_MS;
        self.running.push(DeepCall { ends, ..call });
    }
}

/// The results of a replay.
struct Replayed {
    served: f64,
    lost: f64,
    /// The requests refused and offered under normal load, counted from the target of recovery on.
    refused_in_calm: u32,
    offered_in_calm: u32,
}

/// Replays the overload, followed from `calm_from_ms` on by a load of `CALM_LOAD`.
fn replay(seed: u64, has_windows: bool, entries: usize, calm_from_ms: u64) -> Replayed {
    let (mut refused_in_calm, mut offered_in_calm) = (0, 0);
    let mut random = SmallRng::seed_from_u64(seed);
    let settings = WindowSettings::default();
    let mut windows = vec![EntryWindows::new(settings); entries];
    let key = (ShedClass::FIRST, ());
    let mut simulation = ChainSimulation::default();
    for now in 0..REPLAY_MS {
        let is_calm = now >= calm_from_ms;
        let is_counted = now >= calm_from_ms.saturating_add(RECOVERY_MS);
        let rate = if is_calm {
            CALM_LOAD * REQUESTS_PER_S / 2.2
        } else {
            REQUESTS_PER_S
        };
        let mut due = rate / 1_000.0;
        while due > 0.0 && random.random::<f64>() < due {
            let entry = random.random_range(0..entries);
            let is_admitted = windows[entry].enter(&key) || !has_windows;
            if is_admitted {
                simulation.begin(entry, now);
            }
            offered_in_calm += u32::from(is_counted);
            refused_in_calm += u32::from(is_counted && !is_admitted);
            due -= 1.0;
        }
        for index in simulation.step(now) {
            let request = &simulation.requests[index];
            let latency = if request.is_lost {
                ALLOWED_MS * 3
            } else {
                now - request.started
            };
            let now_time = ClockTime::from_ms(now);
            windows[request.entry].leave(now_time, &key, Some(latency), ALLOWED_MS, |()| true);
            if now >= COUNT_FROM_MS {
                simulation.lost += u32::from(request.is_lost);
                simulation.served += u32::from(!request.is_lost);
            }
        }
    }
    let capacity = REQUESTS_PER_S / 2.2 * 15.0;
    Replayed {
        served: f64::from(simulation.served) / capacity,
        lost: f64::from(simulation.lost) / capacity,
        refused_in_calm,
        offered_in_calm,
    }
}

#[rstest]
fn windows_keep_goodput_where_admitting_everything_does_not(
    #[values(ENTRIES, MANY_ENTRIES)] entries: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let naive = replay(seed, false, entries, u64::MAX);
    let ours = replay(seed, true, entries, u64::MAX);
    assert!(
        ours.served > 0.9 && ours.lost < 0.1,
        "served {:.3} and lost {:.3} of capacity",
        ours.served,
        ours.lost
    );
    assert!(
        naive.served < 0.5 && naive.lost > 0.5,
        "without windows, served {:.3} and lost {:.3}",
        naive.served,
        naive.lost
    );
}

#[rstest]
fn windows_open_again_soon_after_an_overload(
    #[values(ENTRIES, MANY_ENTRIES)] entries: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let ours = replay(seed, true, entries, 10_000);
    let most = f64::from(ours.offered_in_calm) * 0.05;
    assert!(
        f64::from(ours.refused_in_calm) <= most,
        "{} of {} refused",
        ours.refused_in_calm,
        ours.offered_in_calm
    );
}

#[test]
fn normal_load_never_closes_a_window() {
    let mut windows = EntryWindows::new(WindowSettings::default());
    let key = (ShedClass::FIRST, ());
    for latency_ms in [300, 420, 380, 530, 410, 350].into_iter().cycle().take(600) {
        assert!(windows.enter(&key));
        windows.leave(ClockTime::ZERO, &key, Some(latency_ms), ALLOWED_MS, |()| {
            true
        });
        assert_eq!(windows.limit(&key), None);
    }
}

/// The allowed time of a request of the higher class, less than that of the lower one.
const SHORT_MS: u64 = 800;

fn two_classes() -> [(ShedClass, &'static str); 2] {
    [
        (ShedClass::from(CallImportance::Normal), "job-status"),
        (ShedClass::from(CallImportance::Critical), "book-charge"),
    ]
}

#[test]
fn lower_class_closes_first_even_with_a_longer_deadline() {
    let mut windows = EntryWindows::new(WindowSettings::default());
    let [lower, higher] = two_classes();
    for _ in 0..20 {
        assert!(windows.enter(&lower));
        assert!(windows.enter(&higher));
    }
    let now = ClockTime::from_ms(1_000);
    for _ in 0..10 {
        windows.leave(now, &higher, Some(760), SHORT_MS, |_| true);
        windows.leave(now, &lower, Some(760), 2 * SHORT_MS, |_| true);
    }
    assert_eq!(windows.limit(&higher), None);
    let limit = windows.limit(&lower);
    assert!(limit.is_some_and(|limit| limit < 20.0), "{limit:?}");
}

#[test]
fn class_that_shares_no_service_does_not_shrink() {
    let mut windows = EntryWindows::new(WindowSettings::default());
    let [lower, higher] = two_classes();
    for _ in 0..20 {
        assert!(windows.enter(&lower));
        assert!(windows.enter(&higher));
    }
    windows.leave(ClockTime::ZERO, &higher, Some(760), SHORT_MS, |_| false);
    assert_eq!(windows.limit(&lower), None);
    assert!(windows.limit(&higher).is_some());
}

#[test]
fn higher_class_closes_once_the_lower_is_at_its_minimum() {
    let mut windows = EntryWindows::new(WindowSettings::default());
    let [lower, higher] = two_classes();
    for _ in 0..20 {
        assert!(windows.enter(&lower));
    }
    for _ in 0..400 {
        windows.enter(&higher);
        windows.leave(ClockTime::ZERO, &higher, Some(SHORT_MS), SHORT_MS, |_| true);
    }
    assert_eq!(windows.limit(&lower), Some(3.0));
    assert!(windows.limit(&higher).is_some());
}

#[test]
fn slowness_not_caused_by_load_leaves_a_share_of_the_window() {
    let mut windows = EntryWindows::new(WindowSettings::default());
    let key = (ShedClass::FIRST, ());
    for _ in 0..100 {
        assert!(windows.enter(&key));
    }
    for _ in 0..10_000 {
        windows.leave(ClockTime::ZERO, &key, Some(ALLOWED_MS), ALLOWED_MS, |()| {
            true
        });
        windows.enter(&key);
    }
    assert_eq!(windows.limit(&key), Some(15.0));
}
