//! The shedding order compares classes before ranks, and ranks are uniformly distributed.

use lentilshift_model::{CallImportance, RequestId, ShedOrder};
use rstest::rstest;

#[rstest]
fn classes_come_before_ranks() {
    for pair in CallImportance::ALL.windows(2) {
        let last_of_lower = ShedOrder::from_parts(pair[0].into(), u16::MAX);
        let first_of_upper = ShedOrder::from_parts(pair[1].into(), 0);
        assert!(last_of_lower < first_of_upper);
    }
}

#[rstest]
fn ranks_are_spread_evenly() {
    let requests = 10_000_u128;
    let low = (0..requests)
        .map(|bits| ShedOrder::new(CallImportance::Normal, RequestId::from_random(bits)))
        .filter(|order| order.rank() < u16::MAX / 4)
        .count();
    assert!(
        (2_300..2_700).contains(&low),
        "{low} of {requests} in the lowest quarter"
    );
}
