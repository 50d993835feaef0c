//! Replays a load at 2.2 times what a service deep in the chain has room for, and compares entries
//! with windows against entries that let everything in.

use std::collections::VecDeque;

use clock::ClockTime;
use lentilshift_limit::{EntryWindows, WindowSettings};
use model::{CallImportance, ShedClass};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// The nodes at which requests enter.
const ENTRIES: usize = 15;
/// The same where windows hold one or two requests each, as of teams of several classes.
const MANY_ENTRIES: usize = 75;
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
/// The requests a second: 2.2 times what 93 slots have room for, at 320 ms of work a request.
const REQUESTS_PER_S: f64 = 2.2 * 93_000.0 / 320.0;
/// The length of a replay, in milliseconds.
const SPAN_MS: u64 = 20_000;
/// The time from which on requests are counted, in milliseconds; 15 s are left then.
const SETTLED_MS: u64 = 5_000;

/// The calm load after an overload, as a part of what the deep service has room for.
const CALM_PART: f64 = 0.7;
/// The target of recovery: 0.95 of normal within this time, in milliseconds.
const RECOVERY_MS: u64 = 2_000;

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

/// What became of a replay's requests.
struct Replayed {
    served: f64,
    lost: f64,
    /// The requests refused and those that came once calm had lasted for the target of recovery.
    refused_in_calm: u32,
    came_in_calm: u32,
}

/// Replays the overload, from `calm_from_ms` on with `CALM_PART` of what there is room for.
fn replay(seed: u64, has_windows: bool, entries: usize, calm_from_ms: u64) -> Replayed {
    let (mut refused_in_calm, mut came_in_calm) = (0, 0);
    let mut random = SmallRng::seed_from_u64(seed);
    let settings = WindowSettings::default();
    let mut windows = vec![EntryWindows::new(settings); entries];
    let key = (ShedClass::FIRST, ());
    let mut world = ChainWorld::default();
    for now in 0..SPAN_MS {
        let is_calm = now >= calm_from_ms;
        let is_counted = now >= calm_from_ms.saturating_add(RECOVERY_MS);
        let rate = if is_calm {
            CALM_PART * REQUESTS_PER_S / 2.2
        } else {
            REQUESTS_PER_S
        };
        let mut due = rate / 1_000.0;
        while due > 0.0 && random.random::<f64>() < due {
            let entry = random.random_range(0..entries);
            let is_let_in = windows[entry].enter(&key) || !has_windows;
            if is_let_in {
                world.begin(entry, now);
            }
            came_in_calm += u32::from(is_counted);
            refused_in_calm += u32::from(is_counted && !is_let_in);
            due -= 1.0;
        }
        for index in world.step(now) {
            let request = &world.requests[index];
            let latency = if request.is_lost {
                ALLOWED_MS * 3
            } else {
                now - request.began
            };
            let moment = ClockTime::from_ms(now);
            windows[request.entry].leave(moment, &key, Some(latency), ALLOWED_MS, |()| true);
            if now >= SETTLED_MS {
                world.lost += u32::from(request.is_lost);
                world.served += u32::from(!request.is_lost);
            }
        }
    }
    let room = REQUESTS_PER_S / 2.2 * 15.0;
    Replayed {
        served: f64::from(world.served) / room,
        lost: f64::from(world.lost) / room,
        refused_in_calm,
        came_in_calm,
    }
}

#[rstest]
fn windows_keep_the_chain_useful_where_letting_all_in_does_not(
    #[values(ENTRIES, MANY_ENTRIES)] entries: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let naive = replay(seed, false, entries, u64::MAX);
    let ours = replay(seed, true, entries, u64::MAX);
    assert!(
        ours.served > 0.9 && ours.lost < 0.1,
        "served {:.3} and lost {:.3} of the room there is",
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
    let most = f64::from(ours.came_in_calm) * 0.05;
    assert!(
        f64::from(ours.refused_in_calm) <= most,
        "{} of {} refused",
        ours.refused_in_calm,
        ours.came_in_calm
    );
}

#[test]
fn calm_load_never_meets_a_closed_window() {
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

/// The time that a request of the greater class may take, less than that of the lesser one.
const SHORT_MS: u64 = 800;

fn two_classes() -> [(ShedClass, &'static str); 2] {
    [
        (ShedClass::from(CallImportance::Normal), "job-status"),
        (ShedClass::from(CallImportance::Critical), "book-charge"),
    ]
}

#[test]
fn lesser_class_closes_first_though_it_may_take_longer() {
    let mut windows = EntryWindows::new(WindowSettings::default());
    let [lesser, greater] = two_classes();
    for _ in 0..20 {
        assert!(windows.enter(&lesser));
        assert!(windows.enter(&greater));
    }
    let now = ClockTime::from_ms(1_000);
    for _ in 0..10 {
        windows.leave(now, &greater, Some(760), SHORT_MS, |_| true);
        windows.leave(now, &lesser, Some(760), 2 * SHORT_MS, |_| true);
    }
    assert_eq!(windows.limit(&greater), None);
    let limit = windows.limit(&lesser);
    assert!(limit.is_some_and(|limit| limit < 20.0), "{limit:?}");
}

#[test]
fn class_that_shares_no_service_gives_nothing_up() {
    let mut windows = EntryWindows::new(WindowSettings::default());
    let [lesser, greater] = two_classes();
    for _ in 0..20 {
        assert!(windows.enter(&lesser));
        assert!(windows.enter(&greater));
    }
    windows.leave(ClockTime::ZERO, &greater, Some(760), SHORT_MS, |_| false);
    assert_eq!(windows.limit(&lesser), None);
    assert!(windows.limit(&greater).is_some());
}

#[test]
fn greater_class_closes_once_the_lesser_has_no_room_left_to_give() {
    let mut windows = EntryWindows::new(WindowSettings::default());
    let [lesser, greater] = two_classes();
    for _ in 0..20 {
        assert!(windows.enter(&lesser));
    }
    for _ in 0..400 {
        windows.enter(&greater);
        windows.leave(ClockTime::ZERO, &greater, Some(SHORT_MS), SHORT_MS, |_| {
            true
        });
    }
    assert_eq!(windows.limit(&lesser), Some(3.0));
    assert!(windows.limit(&greater).is_some());
}

#[test]
fn slowness_that_no_load_causes_leaves_a_part_of_the_window() {
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
