//! Measures the cost of the configuration stream for a node, by text size and number of keys.

use std::{hint::black_box, time::Instant};

use clock::ClockTime;
use lentilshift_streams::{
    ConfigFeed, ConfigFold, ConfigRecord, ConfigVersion, FeedSettings, FollowAction, KeyDigest,
    KeyFold, LogEra, LogOffset, LogRecord, LogStream, ReadBatch, RecordBody, RelayPull,
};
use model::{CentreName, RecordId, TeamName};
use rand::{SeedableRng, rngs::SmallRng};

type Check = fn(&str) -> Result<(), String>;
const CHECK: Check = |_| Ok(());

fn text_of(services: usize, rate: u32) -> String {
    let section = |index: usize| {
        format!(
            "[services.service-{index:03}]\ndepends_on = [\"service-{:03}\", \"service-{:03}\"]\n\n\
             [services.service-{index:03}.calls.lookup]\nimportance = \"high\"\nidempotent = true\n\
             deadline_ms = 800\n\n[services.service-{index:03}.calls.file]\n\
             importance = \"critical\"\nonce = true\ndeadline_ms = 2000\n\n",
            index + 1,
            index + 2,
        )
    };
    let services: String = (0..services).map(section).collect();
    format!("{services}[teams.team-a]\nrate_per_s = {rate}\nburst = 200\n")
}

fn nanos_each(count: u32, mut work: impl FnMut(u32)) -> u128 {
    let start = Instant::now();
    (0..count).for_each(&mut work);
    start.elapsed().as_nanos() / u128::from(count)
}

fn print_text(services: usize) {
    let old = text_of(services, 100);
    let new = text_of(services, 101);
    let part = RecordBody::encode(&ConfigRecord::publish(ConfigVersion::NONE, &old, &new));
    let whole = RecordBody::encode(&ConfigRecord::publish(ConfigVersion::NONE, "", &new));
    let mut fold = ConfigFold::new(CHECK);
    fold.apply_change(&ConfigRecord::publish(ConfigVersion::NONE, "", &old));
    let records: Vec<LogRecord> = (0..200_u32)
        .map(|index| {
            let text = text_of(services, 1_000 + index);
            let newest = fold.newest().clone();
            let change = ConfigRecord::publish(newest.version, &newest.text, &text);
            fold.apply_change(&change);
            LogRecord {
                offset: LogOffset::new(u64::from(index)),
                id: RecordId::from_random(u128::from(index)),
                body: RecordBody::encode(&change),
            }
        })
        .collect();
    let mut reader = ConfigFold::new(CHECK);
    reader.apply_change(&ConfigRecord::publish(ConfigVersion::NONE, "", &old));
    let nanos = nanos_each(200, |index| {
        reader.apply(&records[index as usize]);
    });
    assert_eq!(reader.newest(), fold.newest());
    println!(
        "services={services} text_bytes={} whole_record_bytes={} part_record_bytes={} apply_ns={nanos}",
        new.len(),
        whole.as_str().len(),
        part.as_str().len(),
    );
}

fn print_keys(keys: u32) {
    let mut fold = KeyFold::default();
    let team = TeamName::new("team-a");
    let digests: Vec<KeyDigest> = (0..keys)
        .map(|key| KeyDigest::of_key(&key.to_be_bytes()))
        .collect();
    let grant_ns = nanos_each(keys, |key| {
        fold.grant(digests[key as usize], &team);
    });
    let lookup_ns = nanos_each(keys, |key| {
        black_box(fold.team(&digests[key as usize]));
    });
    let snapshot = RecordBody::encode(&fold).as_str().len();
    println!("keys={keys} grant_ns={grant_ns} lookup_ns={lookup_ns} snapshot_bytes={snapshot}");
}

fn print_pull(services: usize) {
    let mut rng = SmallRng::seed_from_u64(1);
    let settings = FeedSettings::default();
    let mut feed = ConfigFeed::new("vm-a".into(), CentreName::new("dc-a"), CHECK, &settings);
    let now = ClockTime::from_ms(1_000);
    assert!(matches!(
        feed.next_read(now, &mut rng),
        FollowAction::Read { .. }
    ));
    let text = text_of(services, 100);
    let change = ConfigRecord::publish(ConfigVersion::NONE, "", &text);
    let record = LogRecord {
        offset: LogOffset::ZERO,
        id: RecordId::from_random(1),
        body: RecordBody::encode(&change),
    };
    let batch = ReadBatch {
        first: LogOffset::ZERO,
        end: LogOffset::new(1),
        records: vec![record],
        era: LogEra::FIRST,
    };
    feed.on_read(now, now, Ok(batch), &mut rng);
    let pull = RelayPull {
        stream: LogStream::Config,
        from: LogOffset::new(1),
        needs_snapshot: false,
        age_ms: Some(0),
        wait_ms: 500,
        era: LogEra::FIRST,
    };
    let answer_ns = nanos_each(10_000, |_| {
        black_box(feed.answer(now, &pull));
    });
    let answer_bytes = RecordBody::encode(&feed.answer(now, &pull)).as_str().len();
    let pull_bytes = RecordBody::encode(&pull).as_str().len();
    println!(
        "services={services} idle_pull_json_bytes={pull_bytes} idle_answer_json_bytes={answer_bytes} answer_ns={answer_ns}"
    );
}

fn main() {
    for services in [10, 50, 200, 530] {
        print_text(services);
    }
    for keys in [100, 1_000, 10_000, 100_000] {
        print_keys(keys);
    }
    for services in [10, 530] {
        print_pull(services);
    }
}
