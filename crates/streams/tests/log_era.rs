//! A log that comes back without its last records, as one follower and its relay see it.

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_streams::{
    ConfigFeed, ConfigFold, ConfigRecord, ConfigReplacement, ConfigVersion, FeedSettings,
    FollowAction, FollowSettings, FollowUpdate, KeyDigest, LogEra, LogOffset, LogRecord, LogStream,
    ReadBatch, ReadError, RecordBody, RecordRelay, RelayBatch, RelayPull, RelaySettings,
    StreamFollower, UpdateTime,
};
use model::RecordId;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_ms(ms)
}

fn offset(number: u64) -> LogOffset {
    LogOffset::new(number)
}

/// A record whose content names its era.
fn record(era: u64, number: u64) -> LogRecord {
    LogRecord {
        offset: offset(number),
        id: RecordId::from_number(u128::from(era * 1_000 + number)),
        body: RecordBody::new(format!("\"{era}:{number}\"")),
    }
}

/// The answer to a read from `from` of a log with `end` records in an era.
fn batch(era: u64, from: u64, end: u64) -> ReadBatch {
    ReadBatch {
        first: LogOffset::ZERO,
        end: offset(end),
        records: (from..end).map(|number| record(era, number)).collect(),
        era: LogEra::new(era),
    }
}

fn gone(era: u64, first: u64) -> ReadError {
    ReadError::Gone {
        first: offset(first),
        era: LogEra::new(era),
    }
}

/// A follower that has read five records in era 3, up to 100 ms.
fn follower() -> StreamFollower {
    let mut follower = StreamFollower::new(LogStream::Rates, FollowSettings::default());
    let update = read(&mut follower, 101, 100, Ok(batch(3, 0, 5)));
    assert_eq!(update.went_back, None);
    assert_eq!(update.records.len(), 5);
    follower
}

fn read(
    follower: &mut StreamFollower,
    now: u64,
    requested_at: u64,
    result: Result<ReadBatch, ReadError>,
) -> FollowUpdate {
    let mut random = SmallRng::seed_from_u64(1);
    follower.on_read(at(now), at(requested_at), result, &mut random)
}

// Guards against a follower that stops, or waits for the old end, when the log has gone back.
#[rstest]
#[case::beyond_the_end(Err(gone(4, 0)))]
#[case::offset_given_out_again(Ok(batch(4, 5, 7)))]
#[case::shorter(Ok(batch(4, 5, 3)))]
#[case::also_trimmed(Err(gone(4, 9)))]
fn later_era_is_read_from_the_first_record(#[case] answer: Result<ReadBatch, ReadError>) {
    let mut follower = follower();
    let update = read(&mut follower, 301, 300, answer);
    assert_eq!(update.went_back, Some(LogEra::new(4)));
    assert!(update.records.is_empty() && update.lost_before.is_none());
    assert!(!follower.is_caught_up());
    let mut random = SmallRng::seed_from_u64(1);
    let FollowAction::Read { from, .. } = follower.next_read(at(310), &mut random) else {
        panic!("no read");
    };
    assert_eq!(from, LogOffset::ZERO);
    let update = read(&mut follower, 311, 310, Ok(batch(4, 0, 3)));
    assert_eq!(update.went_back, None);
    assert_eq!(update.records.len(), 3);
    assert!(follower.is_caught_up());
}

// Guards against a late answer from before the log went back being believed.
#[rstest]
#[case(Ok(batch(3, 0, 9)))]
#[case(Ok(batch(3, 3, 9)))]
#[case(Err(gone(3, 9)))]
#[case::without_era(Ok(batch(0, 0, 9)))]
fn late_answer_of_an_earlier_era_is_ignored(#[case] answer: Result<ReadBatch, ReadError>) {
    let mut follower = follower();
    read(&mut follower, 301, 300, Err(gone(4, 0)));
    let before = follower.fresh_at();
    let update = read(&mut follower, 400, 310, answer);
    assert_eq!(update, FollowUpdate::default());
    assert_eq!(follower.next(), LogOffset::ZERO);
    assert_eq!(follower.fresh_at(), before);
}

// Guards against the answer to a read of an old offset, given in the new era, skipping records.
#[rstest]
fn answer_to_a_request_from_before_is_ignored() {
    let mut follower = follower();
    read(&mut follower, 301, 300, Err(gone(4, 0)));
    let late = ReadBatch {
        first: offset(5),
        ..batch(4, 5, 5)
    };
    let update = read(&mut follower, 320, 290, Ok(late));
    assert_eq!(update, FollowUpdate::default());
    assert_eq!(follower.next(), LogOffset::ZERO);
}

#[rstest]
fn freshness_advances_only_at_the_end_of_the_new_era() {
    let mut follower = follower();
    read(&mut follower, 301, 300, Err(gone(4, 0)));
    assert_eq!(follower.fresh_at(), Some(UpdateTime::at(at(100))));
    assert_eq!(follower.relayed_fresh_at(), None);
    let part = ReadBatch {
        end: offset(4),
        ..batch(4, 0, 2)
    };
    read(&mut follower, 311, 310, Ok(part));
    assert_eq!(follower.fresh_at(), Some(UpdateTime::at(at(100))));
    read(&mut follower, 321, 320, Ok(batch(4, 2, 4)));
    assert_eq!(follower.fresh_at(), Some(UpdateTime::at(at(320))));
}

// Retention is still told from a log that went back.
#[rstest]
fn removed_records_of_the_same_era_are_skipped() {
    let mut follower = follower();
    let update = read(&mut follower, 301, 300, Err(gone(3, 9)));
    assert_eq!(update.lost_before, Some(offset(9)));
    assert_eq!(update.went_back, None);
}

fn relay_batch(era: u64, from: u64, end: u64) -> RelayBatch {
    RelayBatch {
        stream: LogStream::Rates,
        snapshot: None,
        records: (from..end).map(|number| record(era, number)).collect(),
        next: offset(end),
        fresh_ms: Some(0),
        held_ms: 0,
        outages: Vec::new(),
        snapshot_age_ms: None,
        snapshot_covers: LogOffset::ZERO,
        era: Some(LogEra::new(era)),
    }
}

// Guards against a node that has missed the return of the log making another one look fresh.
#[rstest]
fn batch_of_an_earlier_era_is_neither_applied_nor_fresh() {
    let mut follower = follower();
    let update = follower.on_batch(at(501), at(500), relay_batch(2, 5, 6));
    assert_eq!(update, FollowUpdate::default());
    assert_eq!(follower.fresh_at(), Some(UpdateTime::at(at(100))));
}

// Guards against a start beside a node that has read nothing yet being taken for a return.
#[rstest]
fn batch_of_a_node_without_era_is_no_era() {
    let mut follower = StreamFollower::new(LogStream::Rates, FollowSettings::default());
    let unread = RelayBatch {
        era: None,
        fresh_ms: None,
        ..relay_batch(0, 0, 0)
    };
    follower.on_batch(at(11), at(10), unread);
    assert_eq!(follower.known_era(), None);
    let update = read(&mut follower, 21, 20, Ok(batch(3, 0, 5)));
    assert_eq!((update.went_back, update.records.len()), (None, 5));
}

#[rstest]
fn batch_of_a_later_era_is_read_from_the_first_record() {
    let mut follower = follower();
    let update = follower.on_batch(at(501), at(500), relay_batch(4, 0, 2));
    assert_eq!(update.went_back, Some(LogEra::new(4)));
    assert_eq!(update.records.len(), 2);
    assert_eq!(follower.fresh_at(), Some(UpdateTime::at(at(500))));
    assert!(follower.is_caught_up());
}

fn pull(era: u64, from: u64) -> RelayPull {
    RelayPull {
        stream: LogStream::Rates,
        from: offset(from),
        needs_snapshot: false,
        age_ms: Some(10_000),
        wait_ms: 100,
        era: LogEra::new(era),
    }
}

#[rstest]
#[case::same_era(3, 1, 1)]
#[case::earlier_era(2, 5, 2)]
#[case::later_era(4, 0, 0)]
fn relay_answers_pulls_of_its_own_era_only(
    #[case] era: u64,
    #[case] from: u64,
    #[case] records: usize,
) {
    let mut relay = RecordRelay::new(LogStream::Rates, RelaySettings::default());
    relay.set_era(Some(LogEra::new(3)));
    relay.push(record(3, 0));
    relay.push(record(3, 1));
    let fresh_at = Some(UpdateTime::at(at(0)));
    let pull = pull(era, from);
    assert_eq!(relay.has_update(&pull), records > 0);
    let answer = relay.answer(at(1), &pull, fresh_at, Vec::new(), || None);
    assert_eq!(answer.records.len(), records);
    assert_eq!(answer.fresh_ms.is_some(), records > 0);
    assert_eq!(answer.era, Some(LogEra::new(3)));
}

fn config(number: u64, version: u64) -> LogRecord {
    let replacement = ConfigRecord::Replace(ConfigReplacement {
        version: ConfigVersion::new(version),
        text: format!("text {version}"),
        keys: BTreeMap::new(),
        evacuated: None,
    });
    LogRecord {
        body: RecordBody::encode(&replacement),
        ..record(0, number)
    }
}

// Guards against a configuration that reverts, or is no longer followed, when the log goes back.
#[rstest]
fn configuration_stays_in_force_and_is_followed() {
    let check = |_: &str| Ok(());
    let mut feed = ConfigFeed::new("vm".into(), "dc".into(), check, &FeedSettings::default());
    let mut random = SmallRng::seed_from_u64(1);
    let mut read = |feed: &mut ConfigFeed<_>, now: u64, era: u64, records: Vec<LogRecord>| {
        let end = records.last().map_or(0, |record| record.offset.get() + 1);
        let batch = ReadBatch {
            records,
            ..batch(era, end, end)
        };
        feed.on_read(at(now), at(now), Ok(batch), &mut random);
        feed.fold().in_force().version.get()
    };
    assert_eq!(read(&mut feed, 1, 1, vec![config(0, 4), config(1, 7)]), 7);
    assert_eq!(read(&mut feed, 2, 2, vec![]), 7);
    assert!(feed.is_ready());
    assert_eq!(read(&mut feed, 4, 2, vec![config(0, 4)]), 7);
    assert_eq!(read(&mut feed, 5, 2, vec![config(1, 7)]), 7);
    assert_eq!(read(&mut feed, 6, 2, vec![config(2, 9)]), 9);
    assert!(feed.is_ready());
}

// Guards against a key or a text being forgotten that the log has lost: a node that had read them
// writes its state again, and others take it from there.
#[rstest]
fn lost_text_and_withdrawal_are_restored_from_a_snapshot() {
    let check = |_: &str| Ok(());
    let (kept, lost) = (KeyDigest::of_key(b"kept"), KeyDigest::of_key(b"lost"));
    let grant = |digest| ConfigRecord::Grant {
        digest,
        team: "clubs".into(),
    };
    let first = ConfigRecord::publish(ConfigVersion::NONE, "", "one");
    let second = ConfigRecord::publish(ConfigVersion::new(1), "one", "two");
    let withdrawal = ConfigRecord::Withdraw { digest: kept };
    let record_of = |number: u64, change: &ConfigRecord| LogRecord {
        body: RecordBody::encode(change),
        ..record(0, number)
    };
    let mut knowing = ConfigFold::new(check);
    let mut other = ConfigFold::new(check);
    let all = [&first, &grant(kept), &second, &withdrawal, &grant(lost)];
    for (number, change) in (0..).zip(all) {
        knowing.apply(&record_of(number, change));
    }
    knowing.go_back();
    for fold in [&mut knowing, &mut other] {
        for (number, change) in (0..).zip([&first, &grant(kept)]) {
            fold.apply(&record_of(number, change));
        }
    }
    assert_eq!(&*knowing.in_force().text, "two");
    assert!(knowing.keys().is_withdrawn(&kept));
    assert_eq!(&*other.in_force().text, "one");
    let snapshot = ConfigRecord::Snapshot(knowing.snapshot().unwrap());
    for fold in [&mut knowing, &mut other] {
        fold.apply(&record_of(2, &snapshot));
        assert_eq!(&*fold.in_force().text, "two");
        assert!(fold.keys().is_withdrawn(&kept));
        assert!(fold.keys().team(&lost).is_some());
    }
}
