//! Replays a load at 2.2 times what a service deep in the chain has room for, and compares entries
//! with windows against entries that let everything in.

use std::collections::VecDeque;

use lentilshift_limit::{EntryWindow, WindowSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// The nodes at which requests enter.
const ENTRIES: usize = 15;
/// The calls that the deep service runs at once.
const DEEP_SLOTS: usize = 93;
/// The time that the deep service runs a call, in milliseconds.
const DEEP_MS: u64 = 40;
/// The calls to the deep service that a request makes one after the other.
const DEEP_CALLS: u32 = 4;
/// The rows of such calls that a request makes at the same time.
const ROWS: u32 = 2;
/// The time that a request takes before its first call, in milliseconds.
const FRONT_MS: u64 = 200;
/// The time that a request may take, in milliseconds.
const ALLOWED_MS: u64 = 1_000;
/// The requests a second, 2.2 times what the deep service has room for.
const REQUESTS_PER_S: f64 = 2.2 * 93_000.0 / (DEEP_MS as f64 * 8.0);
/// The length of a replay, in milliseconds.
const SPAN_MS: u64 = 20_000;
/// The time from which on requests are counted, in milliseconds.
const SETTLED_MS: u64 = 5_000;

/// A request that was let in.
struct ChainRequest {
    entry: usize,
    began: u64,
    rows_left: u32,
    is_lost: bool,
}

/// A call to the deep service, or the wait before it.
#[derive(Clone, Copy)]
struct DeepCall {
    request: usize,
    calls_left: u32,
    ends: u64,
}

/// The deep service and all requests on their way.
#[derive(Default)]
struct ChainWorld {
    requests: Vec<ChainRequest>,
    starting: VecDeque<DeepCall>,
    waiting: VecDeque<DeepCall>,
    running: Vec<DeepCall>,
    served: u32,
    lost: u32,
}

impl ChainWorld {
    fn begin(&mut self, entry: usize, now: u64) {
        let request = self.requests.len();
        self.requests.push(ChainRequest {
            entry,
            began: now,
            rows_left: ROWS,
            is_lost: false,
        });
        let first = DeepCall {
            request,
            calls_left: DEEP_CALLS,
            ends: now + FRONT_MS,
        };
        self.starting.extend([first; ROWS as usize]);
    }

    /// Lets a millisecond pass, and returns the requests that ended in it.
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
        request.rows_left -= 1;
        if request.rows_left == 0 && !request.is_lost {
            ended.push(call.request);
        }
    }

    /// Runs a call, or refuses it when its request can't end in time any more.
    fn start_call(&mut self, call: DeepCall, now: u64, ended: &mut Vec<usize>) {
        let request = &mut self.requests[call.request];
        if request.is_lost {
            return;
        }
        if now + DEEP_MS > request.began + ALLOWED_MS {
            request.is_lost = true;
            ended.push(call.request);
            return;
        }
        let ends = now + DEEP_MS;
        self.running.push(DeepCall { ends, ..call });
    }
}

/// Returns the requests served and lost, as parts of what the deep service has room for.
fn replay(seed: u64, has_windows: bool) -> (f64, f64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let settings = WindowSettings::default();
    let mut windows = vec![EntryWindow::new(settings, 0.0); ENTRIES];
    let mut world = ChainWorld::default();
    for now in 0..SPAN_MS {
        let mut due = REQUESTS_PER_S / 1_000.0;
        while due > 0.0 && random.random::<f64>() < due {
            let entry = random.random_range(0..ENTRIES);
            if windows[entry].enter() || !has_windows {
                world.begin(entry, now);
            }
            due -= 1.0;
        }
        for index in world.step(now) {
            let request = &world.requests[index];
            let latency = if request.is_lost {
                ALLOWED_MS * 3
            } else {
                now - request.began
            };
            windows[request.entry].leave(Some(latency), ALLOWED_MS);
            if now >= SETTLED_MS {
                world.lost += u32::from(request.is_lost);
                world.served += u32::from(!request.is_lost);
            }
        }
    }
    let room = REQUESTS_PER_S / 2.2 * (SPAN_MS - SETTLED_MS) as f64 / 1_000.0;
    (f64::from(world.served) / room, f64::from(world.lost) / room)
}

#[rstest]
fn windows_keep_the_chain_useful_where_letting_all_in_does_not(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let (naive_served, naive_lost) = replay(seed, false);
    let (served, lost) = replay(seed, true);
    assert!(
        served > 0.9 && lost < 0.1,
        "served {served:.3} and lost {lost:.3} of the room there is"
    );
    assert!(
        naive_served < 0.5 && naive_lost > 0.5,
        "without windows, served {naive_served:.3} and lost {naive_lost:.3}"
    );
}

#[test]
fn calm_load_never_meets_a_closed_window() {
    let mut window = EntryWindow::new(WindowSettings::default(), 0.0);
    for latency_ms in [300, 420, 380, 530, 410, 350].into_iter().cycle().take(600) {
        assert!(window.enter());
        window.leave(Some(latency_ms), ALLOWED_MS);
        assert_eq!(window.limit(), None);
    }
}

#[test]
fn classes_that_give_way_first_close_first() {
    let settings = WindowSettings::default();
    let mut first = EntryWindow::new(settings, 0.0);
    let mut last = EntryWindow::new(settings, 1.0);
    for window in [&mut first, &mut last] {
        for _ in 0..20 {
            assert!(window.enter());
        }
        window.leave(Some(700), ALLOWED_MS);
    }
    assert!(first.limit().is_some());
    assert_eq!(last.limit(), None);
}

#[test]
fn slowness_that_no_load_causes_leaves_a_part_of_the_window() {
    let mut window = EntryWindow::new(WindowSettings::default(), 0.0);
    for _ in 0..100 {
        assert!(window.enter());
    }
    for _ in 0..10_000 {
        window.leave(Some(ALLOWED_MS), ALLOWED_MS);
        window.enter();
    }
    assert_eq!(window.limit(), Some(15.0));
}
