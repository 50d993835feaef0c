//! Text changes, and malformed or inconsistent records.

use lentilshift_streams::{
    ConfigFold, ConfigRecord, ConfigSnapshot, ConfigVersion, LogOffset, LogRecord, RecordBody,
    RecordOutcome, TextChange, TextDigest,
};
use model::RecordId;
use proptest::prelude::*;
use rstest::rstest;

type Check = fn(&str) -> Result<(), String>;

fn fold() -> ConfigFold<Check> {
    let mut fold = ConfigFold::new((|_| Ok(())) as Check);
    fold.apply_change(&ConfigRecord::publish(ConfigVersion::NONE, "", "a text"));
    fold
}

proptest! {
    #[test]
    fn change_turns_the_old_text_into_the_new(old in "[aäb\n]{0,12}", new in "[aäb\n]{0,12}") {
        prop_assert_eq!(TextChange::between(&old, &new).apply(&old), Ok(new));
    }

    #[test]
    fn no_change_panics(old in "[aäb]{0,6}", head_len: usize, tail_len in 0_usize..9) {
        let middle = String::new();
        let _ = TextChange::Part { head_len: head_len % 9, tail_len, middle: middle.clone() }.apply(&old);
        let _ = TextChange::Part { head_len, tail_len, middle }.apply(&old);
    }
}

#[rstest]
#[case::no_json("nonsense")]
#[case::another_kind(r#"{"kind":"delete"}"#)]
#[case::bad_digest(r#"{"kind":"withdraw","digest":"ä"}"#)]
fn undecodable_record_changes_nothing(#[case] body: &str) {
    let mut fold = fold();
    let record = LogRecord {
        offset: LogOffset::ZERO,
        id: RecordId::from_random(1),
        body: RecordBody::new(body),
    };
    assert_eq!(fold.apply(&record), RecordOutcome::Unreadable);
    assert_eq!(fold.next(), LogOffset::new(1));
    assert_eq!(&*fold.in_force().text, "a text");
}

#[test]
fn snapshot_beyond_its_own_offset_changes_nothing() {
    let mut fold = fold();
    let snapshot = ConfigSnapshot {
        covers: LogOffset::new(1_000),
        version: ConfigVersion::new(1_000),
        ..ConfigSnapshot::default()
    };
    let record = LogRecord {
        offset: LogOffset::ZERO,
        id: RecordId::from_random(1),
        body: RecordBody::encode(&ConfigRecord::Snapshot(snapshot)),
    };
    assert_eq!(fold.apply(&record), RecordOutcome::Unreadable);
    assert_eq!(fold.next(), LogOffset::new(1));
}

#[test]
fn change_with_another_digest_is_rejected() {
    let mut fold = fold();
    let change = ConfigRecord::Publish {
        base: ConfigVersion::new(1),
        digest: TextDigest::of_text("another text"),
        change: TextChange::between("a text", "a new text"),
    };
    assert!(matches!(
        fold.apply_change(&change),
        RecordOutcome::Broken { .. }
    ));
    assert_eq!(fold.newest().version, ConfigVersion::new(1));
}
