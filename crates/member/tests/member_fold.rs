//! The members of the fleet as a fold over the members stream.

use std::net::{Ipv4Addr, SocketAddr};

use lentilshift_member::{
    BackendDeparture, BackendName, DepartedBackend, MemberAnnouncement, MemberFold, MemberSettings,
    MemberState,
};
use model::{RecordId, VmName};
use rand::SeedableRng;
use rstest::rstest;
use streams::{
    FoldFeed, FollowSettings, LogEra, LogOffset, LogRecord, LogStream, ReadBatch, RecordBody,
    StreamFeed, StreamFold,
};

fn announcement(sequence: u64, state: MemberState) -> MemberAnnouncement {
    MemberAnnouncement {
        vm: VmName::new("registry-1"),
        centre: "north".into(),
        service: "registry".into(),
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
        slots: 25,
        incarnation: 1,
        sequence,
        state,
        valid_ms: 30_000,
    }
}

fn record(offset: u64, body: RecordBody) -> LogRecord {
    LogRecord {
        offset: LogOffset::new(offset),
        id: RecordId::from_random(u128::from(offset)),
        body,
    }
}

fn read(feed: &mut FoldFeed<MemberFold>, records: Vec<LogRecord>) {
    let end = LogOffset::new(records.last().map_or(0, |record| record.offset.get() + 1));
    let batch = ReadBatch {
        first: LogOffset::ZERO,
        end,
        records,
        era: LogEra::FIRST,
    };
    let now = clock::ClockTime::from_ms(10);
    let mut random = rand::rngs::SmallRng::seed_from_u64(1);
    feed.on_read(now, now, Ok(batch), &mut random);
}

#[rstest]
fn repeated_announcement_is_no_change() {
    let fold = MemberFold::new(MemberSettings::default());
    let mut feed = FoldFeed::new(LogStream::Members, FollowSettings::default(), fold);
    assert!(feed.fold().take_changed());
    let ready = |sequence| RecordBody::encode(&announcement(sequence, MemberState::Ready));
    read(&mut feed, vec![record(0, ready(1))]);
    assert!(feed.fold().take_changed());
    read(&mut feed, vec![record(1, ready(2))]);
    assert!(!feed.fold().take_changed());
    let leaving = RecordBody::encode(&announcement(3, MemberState::Leaving));
    read(&mut feed, vec![record(2, leaving)]);
    assert!(feed.fold().take_changed());
}

#[rstest]
fn unreadable_record_is_counted_and_the_next_one_is_applied() {
    let fold = MemberFold::new(MemberSettings::default());
    let mut feed = FoldFeed::new(LogStream::Members, FollowSettings::default(), fold);
    let ready = RecordBody::encode(&announcement(1, MemberState::Ready));
    let records = vec![record(0, RecordBody::new("nonsense")), record(1, ready)];
    read(&mut feed, records);
    assert_eq!(feed.fold().unreadable(), 1);
    assert_eq!(feed.fold().view().members().count(), 1);
}

/// The announcement of another writer, with the value of one field replaced.
fn odd_announcement(field: &str, value: &str) -> RecordBody {
    let body = RecordBody::encode(&announcement(9, MemberState::Ready));
    let text = body.as_str();
    let name = format!("\"{field}\":");
    let start = text.find(&name).expect("the field exists") + name.len();
    let rest = &text[start..];
    let end = rest.find([',', '}']).expect("the value ends");
    RecordBody::new(format!("{}{value}{}", &text[..start], &rest[end..]))
}

/// Another writer's entry, deeply nested or with a number out of range, ended the reader, or kept
/// the entry of the VM that it names out of the view.
#[rstest]
#[case::nested_lists("slots", &"[".repeat(100_000))]
#[case::nested_objects("service", &"{\"a\":".repeat(100_000))]
#[case::nested_and_closed("vm", &format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)))]
#[case::port_too_large("peer_addr", "\"127.0.0.1:70000\"")]
#[case::port_zero("peer_addr", "\"127.0.0.1:0\"")]
#[case::slots_too_large("slots", "4294967296")]
#[case::infinite("sequence", "1e999")]
#[case::sequence_too_large("sequence", "18446744073709551616")]
#[case::largest_sequence("sequence", "18446744073709551615")]
#[case::largest_incarnation("incarnation", "18446744073709551615")]
#[case::endless("valid_ms", "18446744073709551615")]
#[case::negative("valid_ms", "-1")]
fn odd_entry_of_another_writer_changes_nothing(#[case] field: &str, #[case] value: &str) {
    let fold = MemberFold::new(MemberSettings::default());
    let mut feed = FoldFeed::new(LogStream::Members, FollowSettings::default(), fold);
    let ready = |sequence| RecordBody::encode(&announcement(sequence, MemberState::Ready));
    let odd = odd_announcement(field, value);
    read(
        &mut feed,
        vec![record(0, ready(1)), record(1, odd), record(2, ready(2))],
    );
    let fold = feed.fold();
    let known = fold.view().get(&VmName::new("registry-1")).unwrap();
    assert_eq!(*known, announcement(2, MemberState::Ready));
    assert_eq!(fold.unreadable(), 1);
}

/// A departure reaches the next process of the node, whether it reads the stream or pulls a snapshot.
#[rstest]
fn departure_is_known_to_the_next_process_of_the_node() {
    let departure = BackendDeparture {
        vm: VmName::new("machine-1.a"),
        departed: DepartedBackend {
            backend: BackendName::new("i-1"),
            started_at_ms: Some(5),
        },
    };
    let fold = MemberFold::new(MemberSettings::default());
    let mut feed = FoldFeed::new(LogStream::Members, FollowSettings::default(), fold);
    let body = RecordBody::encode(&departure);
    read(&mut feed, vec![record(0, body.clone()), record(1, body)]);
    assert_eq!(feed.fold().unreadable(), 0);
    let snapshot = feed.fold().snapshot().unwrap();
    let mut other = MemberFold::new(MemberSettings::default());
    other.apply_snapshot(clock::ClockTime::ZERO, &snapshot);
    for fold in [feed.fold(), &mut other] {
        let next = VmName::new("machine-1.b");
        let known: Vec<_> = fold.view().departures_on(&next).cloned().collect();
        assert_eq!(known, std::slice::from_ref(&departure));
        let neighbour = VmName::new("machine-2.a");
        assert_eq!(fold.view().departures_on(&neighbour).count(), 0);
    }
}
