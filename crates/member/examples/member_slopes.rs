//! Prints what membership costs a node, over sizes of the fleet.

use std::{fs, hint::black_box, time::Instant};

use lentilshift_member::{
    MemberAnnouncement, MemberSettings, MemberState, MemberSubset, MemberView,
};
use model::{CentreName, ServiceName, VmName};
use streams::{LogOffset, RecordBody};

/// The size of a page of memory, in bytes.
const PAGE_BYTES: usize = 4_096;

fn member(index: usize, sequence: u64) -> MemberAnnouncement {
    MemberAnnouncement {
        vm: VmName::new(format!("service-{:03}-{index:05}-a1b2c3d4", index % 530)),
        centre: CentreName::new(format!("region-{}-dc-{}", index % 3, index % 7)),
        service: ServiceName::new(format!("service-{:03}", index % 530)),
        peer_addr: ([10, 0, 0, 1], 7_000).into(),
        slots: 65,
        incarnation: 1,
        sequence,
        state: MemberState::Ready,
        valid_ms: 2_400_000,
    }
}

fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn print_members(count: usize) {
    let settings = MemberSettings::default();
    let first: Vec<RecordBody> = (0..count)
        .map(|index| RecordBody::encode(&member(index, 1)))
        .collect();
    let again: Vec<RecordBody> = (0..count)
        .map(|index| RecordBody::encode(&member(index, 2)))
        .collect();
    let record_bytes = first[0].as_str().len();
    let before = resident_bytes();
    let mut views: Vec<MemberView> = (0..16).map(|_| MemberView::new(settings)).collect();
    for view in &mut views {
        first
            .iter()
            .filter_map(|body| body.decode().ok())
            .for_each(|member| {
                view.apply(&member);
            });
    }
    let view_bytes = (resident_bytes() - before) / views.len();
    let view = &mut views[0];
    let start = Instant::now();
    again
        .iter()
        .filter_map(|body| body.decode().ok())
        .for_each(|member| {
            view.apply(&member);
        });
    let apply_ns = start.elapsed().as_nanos() / count as u128;
    let snapshot = view.snapshot(LogOffset::ZERO);
    let snapshot_bytes = RecordBody::encode(&snapshot).as_str().len();
    let (own, centre) = (VmName::new("own"), CentreName::new("region-0-dc-0"));
    let service = ServiceName::new("service-000");
    let start = Instant::now();
    for _ in 0..1_000 {
        black_box(MemberSubset::default().pick(&own, &centre, view.ready(&service)));
    }
    let pick_ns = start.elapsed().as_nanos() / 1_000;
    println!(
        "members={count} record_bytes={record_bytes} refresh_ms={} view_bytes={view_bytes} apply_ns={apply_ns} snapshot_bytes={snapshot_bytes} pick_ns={pick_ns}",
        settings.refresh_ms(count)
    );
}

fn main() {
    for count in [15, 250, 1_000, 4_000] {
        print_members(count);
    }
}
