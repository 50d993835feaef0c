//! Records that replace text and keys together: the highest version wins, and no earlier one comes
//! back.

use std::collections::BTreeMap;

use lentilshift_streams::{
    ConfigFold, ConfigRecord, ConfigReplacement, ConfigVersion, KeyDigest, LogOffset, LogRecord,
    RecordBody, RecordOutcome, TextCheck,
};
use model::RecordId;

fn fold() -> ConfigFold<impl TextCheck> {
    ConfigFold::new(|text: &str| {
        if text.contains("bad") {
            Err("bad".to_owned())
        } else {
            Ok(())
        }
    })
}

fn replacement(version: u64, text: &str, keys: &[&str]) -> ConfigRecord {
    let keys = keys
        .iter()
        .map(|key| (KeyDigest::of_key(key.as_bytes()), "clubs".into()));
    ConfigRecord::Replace(ConfigReplacement {
        version: ConfigVersion::new(version),
        text: text.to_owned(),
        keys: keys.collect::<BTreeMap<_, _>>(),
        evacuated: None,
    })
}

fn record(offset: u64, change: &ConfigRecord) -> LogRecord {
    LogRecord {
        offset: LogOffset::new(offset),
        id: RecordId::from_number(u128::from(offset)),
        body: RecordBody::encode(change),
    }
}

fn knows(fold: &ConfigFold<impl TextCheck>, key: &str) -> bool {
    fold.keys()
        .team(&KeyDigest::of_key(key.as_bytes()))
        .is_some()
}

#[test]
fn key_that_a_version_drops_is_gone_and_may_come_back() {
    let mut fold = fold();
    fold.apply(&record(0, &replacement(4, "one", &["a", "b"])));
    fold.apply(&record(1, &replacement(9, "two", &["b"])));
    assert!(!knows(&fold, "a") && knows(&fold, "b"));
    fold.apply(&record(2, &replacement(11, "three", &["a"])));
    assert!(knows(&fold, "a") && !knows(&fold, "b"));
}

#[test]
fn older_version_changes_neither_text_nor_keys() {
    let mut fold = fold();
    fold.apply(&record(0, &replacement(9, "two", &["b"])));
    let outcome = fold.apply(&record(1, &replacement(4, "one", &["a"])));
    assert!(matches!(outcome, RecordOutcome::Stale { .. }));
    assert_eq!(&*fold.in_force().text, "two");
    assert!(knows(&fold, "b") && !knows(&fold, "a"));
}

#[test]
fn one_record_after_a_gap_makes_the_state_whole() {
    let mut fold = fold();
    fold.lose_before(LogOffset::new(5));
    assert!(!fold.is_complete());
    fold.apply(&record(5, &ConfigRecord::Superseded));
    assert!(!fold.is_complete());
    fold.apply(&record(6, &replacement(3, "one", &["a"])));
    assert!(fold.is_complete() && knows(&fold, "a"));
}

#[test]
fn peer_behind_takes_the_state_and_one_ahead_keeps_its_own() {
    let mut ahead = fold();
    ahead.apply(&record(0, &replacement(4, "one", &["a"])));
    let mut behind = fold();
    behind.apply(&record(0, &replacement(4, "one", &["a"])));
    let old = behind.snapshot().unwrap();
    ahead.apply(&record(1, &replacement(9, "two", &["b"])));
    behind.apply_snapshot(&ahead.snapshot().unwrap());
    assert!(knows(&behind, "b") && !knows(&behind, "a"));
    ahead.apply_snapshot(&old);
    assert!(knows(&ahead, "b") && !knows(&ahead, "a"));
    assert_eq!(ahead.in_force().version, ConfigVersion::new(9));
}

#[test]
fn text_at_fault_leaves_the_last_one_in_force_with_the_new_keys() {
    let mut fold = fold();
    fold.apply(&record(0, &replacement(4, "one", &["a"])));
    let outcome = fold.apply(&record(1, &replacement(9, "bad", &["b"])));
    assert!(matches!(outcome, RecordOutcome::Invalid { .. }));
    assert_eq!(&*fold.in_force().text, "one");
    assert!(!knows(&fold, "a") && knows(&fold, "b"));
}

fn evacuation(centre: &str, is_evacuated: bool) -> ConfigRecord {
    ConfigRecord::Evacuate {
        centre: centre.into(),
        is_evacuated,
    }
}

fn evacuated(fold: &ConfigFold<impl TextCheck>) -> Vec<&str> {
    fold.evacuated()
        .iter()
        .map(model::CentreName::as_str)
        .collect()
}

#[test]
fn evacuation_outlasts_new_versions_until_it_ends() {
    let mut fold = fold();
    fold.apply(&record(0, &replacement(4, "one", &["a"])));
    fold.apply(&record(1, &evacuation("north", true)));
    fold.apply(&record(2, &evacuation("south", true)));
    fold.apply(&record(3, &replacement(5, "two", &["a"])));
    assert_eq!(evacuated(&fold), ["north", "south"]);
    fold.apply(&record(4, &evacuation("north", false)));
    assert_eq!(evacuated(&fold), ["south"]);
}

/// The newest record of each key replaces removed records, among them the end of an evacuation.
#[test]
fn complete_set_replaces_missed_records_even_with_a_known_version() {
    let mut fold = fold();
    fold.apply(&record(0, &replacement(4, "one", &["a"])));
    fold.apply(&record(1, &evacuation("north", true)));
    fold.lose_before(LogOffset::new(7));
    let ConfigRecord::Replace(state) = replacement(4, "one", &["a"]) else {
        unreachable!("a replacement");
    };
    let complete = ConfigRecord::Replace(ConfigReplacement {
        evacuated: Some(["south".into()].into()),
        ..state
    });
    fold.apply(&record(7, &complete));
    assert_eq!(evacuated(&fold), ["south"]);
}

/// A node that learns the state from another one must not send to an evacuated data centre.
#[test]
fn snapshot_carries_evacuations() {
    let mut ahead = fold();
    ahead.apply(&record(0, &replacement(4, "one", &["a"])));
    ahead.apply(&record(1, &evacuation("north", true)));
    let mut behind = fold();
    behind.apply(&record(0, &replacement(4, "one", &["a"])));
    behind.apply_snapshot(&ahead.snapshot().expect("the state is complete"));
    assert_eq!(evacuated(&behind), ["north"]);
}
