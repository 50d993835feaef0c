//! Checks how services are assigned to the streams of claims.

use std::collections::BTreeSet;

use lentilshift_streams::{ClaimShard, LogStream};
use rstest::rstest;

/// The shard of a service must never change, because its existing claims would no longer be found.
#[rstest]
#[case("filings", 10)]
#[case("booking", 9)]
fn shard_of_a_service_never_changes(#[case] service: &str, #[case] index: usize) {
    assert_eq!(ClaimShard::of(&service.into()).index(), index);
}

#[test]
fn services_spread_over_all_shards() {
    let services = (0..530).map(|n| format!("service-{n}"));
    let shards = services.map(|name| ClaimShard::of(&name.as_str().into()).index());
    let mut counts = [0; ClaimShard::COUNT];
    shards.for_each(|index| counts[index] += 1);
    assert!(
        counts.iter().all(|count| (10..50).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn every_stream_has_a_name_of_its_own() {
    let names: BTreeSet<&str> = LogStream::all().map(LogStream::as_str).collect();
    assert_eq!(names.len(), LogStream::all().count());
    for stream in LogStream::all() {
        assert_eq!(LogStream::parse(stream.as_str()), Some(stream));
    }
}
