//! Compares [`ConfigFold`] with a naive fold of the same history, which breaks every guarantee that
//! [`ConfigFold`] keeps.

use std::collections::BTreeMap;

use clock::ClockTime;
use lentilshift_streams::{
    AppendError, AttemptAction, AttemptSettings, AttemptStatus, ConfigFold, ConfigRecord,
    ConfigVersion, KeyDigest, LogOffset, LogRecord, LogStream, NewRecord, ReadError, RecordAttempt,
    RecordBody, RecordOutcome,
};
use model::{RecordId, TeamName};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use standin::LogStore;

const STREAM: LogStream = LogStream::Config;
const RETAINED: usize = 40;

type Check = fn(&str) -> Result<(), String>;

/// Lets the last writer win, and treats the retained records as the whole history.
#[derive(Default)]
struct NaiveFold {
    text: String,
    keys: BTreeMap<KeyDigest, TeamName>,
}

impl NaiveFold {
    fn apply(&mut self, record: &LogRecord) {
        match record.body.decode() {
            Ok(ConfigRecord::Publish { base, change, .. }) => {
                self.text = format!("{base} {change:?}");
            }
            Ok(ConfigRecord::Grant { digest, team }) => {
                self.keys.insert(digest, team);
            }
            Ok(ConfigRecord::Withdraw { digest }) => {
                self.keys.remove(&digest);
            }
            _ => {}
        }
    }
}

/// The guarantees that a fold broke in one history.
#[derive(Debug, Default, PartialEq, Eq)]
struct BrokenGuarantees {
    /// An earlier text was in force again.
    reverted: bool,
    /// A key was valid again after its withdrawal.
    key_restored: bool,
    /// A node that started late had a different state.
    late_differs: bool,
}

struct Histories {
    rng: SmallRng,
    store: LogStore,
    written: Vec<NewRecord>,
    ours: ConfigFold<Check>,
    naive: NaiveFold,
}

impl Histories {
    fn next_record(&mut self) -> NewRecord {
        if !self.written.is_empty() && self.rng.random_ratio(1, 5) {
            return self.written[self.rng.random_range(0..self.written.len())].clone();
        }
        let digest = KeyDigest::of_key(&[self.rng.random_range(0..6)]);
        let newest = self.ours.newest();
        let change = match self.rng.random_range(0..4) {
            0 => ConfigRecord::Grant {
                digest,
                team: TeamName::new("team-a"),
            },
            1 => ConfigRecord::Withdraw { digest },
            _ => {
                let text = format!("text {}", self.rng.random::<u32>());
                ConfigRecord::publish(newest.version, &newest.text, &text)
            }
        };
        let id = RecordId::from_random(self.rng.random());
        let body = RecordBody::encode(&change);
        NewRecord { id, body }
    }

    fn append(&mut self, record: NewRecord) -> LogRecord {
        let receipt = self.store.append(ClockTime::ZERO, STREAM, vec![record]);
        self.store.retain(RETAINED);
        let batch = self.store.read(STREAM, receipt.first).unwrap();
        batch.records[0].clone()
    }
}

fn run(seed: u64) -> (BrokenGuarantees, BrokenGuarantees) {
    let check: Check = |_| Ok(());
    let mut histories = Histories {
        rng: SmallRng::seed_from_u64(seed),
        store: LogStore::default(),
        written: Vec::new(),
        ours: ConfigFold::new(check),
        naive: NaiveFold::default(),
    };
    let (mut ours, mut naive) = (BrokenGuarantees::default(), BrokenGuarantees::default());
    let mut naive_texts = Vec::new();
    let mut withdrawn = Vec::new();
    for step in 1..=150 {
        let record = histories.next_record();
        histories.written.push(record.clone());
        let record = histories.append(record);
        if let Ok(ConfigRecord::Withdraw { digest }) = record.body.decode() {
            withdrawn.push(digest);
        }
        let version = histories.ours.in_force().version;
        histories.ours.apply(&record);
        ours.reverted |= histories.ours.in_force().version < version;
        let text = histories.naive.text.clone();
        histories.naive.apply(&record);
        if histories.naive.text != text {
            naive.reverted |= naive_texts.contains(&histories.naive.text);
            naive_texts.push(text);
        }
        for digest in &withdrawn {
            ours.key_restored |= histories.ours.keys().team(digest).is_some();
            naive.key_restored |= histories.naive.keys.contains_key(digest);
        }
        if step % 20 == 0 {
            let snapshot = histories.ours.snapshot().unwrap();
            let body = RecordBody::encode(&ConfigRecord::Snapshot(snapshot));
            let id = RecordId::from_random(histories.rng.random());
            let record = histories.append(NewRecord { id, body });
            histories.ours.apply(&record);
        }
    }
    let first = histories
        .store
        .read(STREAM, first_retained(&histories.store))
        .unwrap();
    let mut late_ours = ConfigFold::new(check);
    let mut late_naive = NaiveFold::default();
    for record in &first.records {
        late_ours.apply(record);
        late_naive.apply(record);
    }
    ours.late_differs = !late_ours.is_complete()
        || late_ours.in_force() != histories.ours.in_force()
        || late_ours.keys() != histories.ours.keys();
    naive.late_differs =
        late_naive.text != histories.naive.text || late_naive.keys != histories.naive.keys;
    (ours, naive)
}

fn first_retained(store: &LogStore) -> LogOffset {
    match store.read(STREAM, LogOffset::ZERO) {
        Err(ReadError::Gone { first, .. }) => first,
        _ => LogOffset::ZERO,
    }
}

#[test]
fn naive_fold_breaks_every_guarantee_and_config_fold_none() {
    let mut seen = BrokenGuarantees::default();
    for seed in 0..200 {
        let (ours, naive) = run(seed);
        assert_eq!(ours, BrokenGuarantees::default(), "seed {seed}");
        seen.reverted |= naive.reverted;
        seen.key_restored |= naive.key_restored;
        seen.late_differs |= naive.late_differs;
    }
    let all = BrokenGuarantees {
        reverted: true,
        key_restored: true,
        late_differs: true,
    };
    assert_eq!(seen, all);
}

#[rstest]
#[case::written(true)]
#[case::lost(false)]
fn lost_reply_is_not_a_failure(#[case] is_written: bool) {
    let id = RecordId::from_random(1);
    let mut attempt = RecordAttempt::new(ClockTime::ZERO, id, AttemptSettings::default());
    let mut now = ClockTime::from_ms(1);
    assert_eq!(attempt.next_action(now), AttemptAction::Append);
    let error = AppendError::OutcomeUnknown("no answer".into());
    let naive_says_failed = Err::<(), _>(&error).is_err();
    attempt.on_reply(now, Err(error));
    assert_eq!(attempt.status(), &AttemptStatus::Pending);
    if is_written {
        let version = ConfigVersion::new(1);
        attempt.on_record(now, id, RecordOutcome::Accepted { version });
        attempt.on_read_success(now);
        let accepted = AttemptStatus::Settled(RecordOutcome::Accepted { version });
        assert_eq!(attempt.status(), &accepted);
        assert!(naive_says_failed, "the naive answer is false");
        return;
    }
    now = now.plus_ms(60_000);
    assert_eq!(attempt.next_action(now), AttemptAction::Stop);
    assert_eq!(attempt.status(), &AttemptStatus::Unknown);
}
