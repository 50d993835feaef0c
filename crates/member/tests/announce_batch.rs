//! Collecting the announcements of many nodes into one append.

use std::net::SocketAddr;

use clock::ClockTime;
use lentilshift_member::{AnnounceBatch, BatchSettings, MemberAnnouncement, MemberState};
use model::{CentreName, ServiceName, VmName};

const NODES: u64 = 95;
const REFRESH_MS: u64 = 5_000;
const SIMULATED_MS: u64 = 30_000;

fn announcement(index: u64, sequence: u64) -> MemberAnnouncement {
    MemberAnnouncement {
        vm: VmName::new(format!("vm-{index}")),
        centre: CentreName::new("north"),
        service: ServiceName::new("archive"),
        peer_addr: SocketAddr::from(([127, 0, 0, 1], 7000)),
        slots: 29,
        incarnation: 1,
        sequence,
        state: MemberState::Ready,
        valid_ms: 3 * REFRESH_MS,
    }
}

#[test]
fn steady_fleet_appends_less_than_once_a_second() {
    let mut batch = AnnounceBatch::new(BatchSettings::default());
    let (mut appends, mut records) = (0, 0);
    for ms in 0..SIMULATED_MS {
        let now = ClockTime::from_ms(ms);
        let step_ms = REFRESH_MS / NODES;
        if ms % step_ms == 0 {
            let index = (ms / step_ms) % NODES;
            batch.push(now, announcement(index, ms / REFRESH_MS), false);
        }
        let due = batch.take_due(now);
        appends += u64::from(!due.is_empty());
        records += due.len() as u64;
    }
    let naive_appends = SIMULATED_MS / (REFRESH_MS / NODES);
    assert!(
        appends <= SIMULATED_MS / 1_000,
        "{appends} of {naive_appends}"
    );
    assert!(records * 10 >= naive_appends * 9);
}

#[test]
fn repeated_announcement_is_appended_well_within_the_refresh_time() {
    let settings = BatchSettings::default();
    assert!(2 * settings.repeat_wait_ms <= REFRESH_MS);
}

#[test]
fn change_appends_all_pending_announcements_at_once() {
    let settings = BatchSettings::default();
    let mut batch = AnnounceBatch::new(settings);
    batch.push(ClockTime::from_ms(0), announcement(1, 1), false);
    batch.push(ClockTime::from_ms(10), announcement(2, 1), true);
    let due_at = ClockTime::from_ms(10 + settings.change_wait_ms);
    assert_eq!(batch.due_at(), Some(due_at));
    assert!(batch.take_due(due_at.minus_ms(1)).is_empty());
    assert_eq!(batch.take_due(due_at).len(), 2);
    assert_eq!(batch.due_at(), None);
}

#[test]
fn older_announcement_never_replaces_a_newer_one() {
    let mut batch = AnnounceBatch::new(BatchSettings::default());
    let now = ClockTime::from_ms(0);
    batch.push(now, announcement(1, 2), true);
    batch.push(now, announcement(1, 1), true);
    let due = batch.take_due(now.plus_ms(1_000));
    assert_eq!(due, [announcement(1, 2)]);
}
