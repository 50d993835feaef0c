//! The load that a backend server states. A field that comes spoiled must change nothing.

use lentilshift_limit::BackendLoad;
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case("3,0,8", Some((3, 0, 8, 0)))]
#[case(" 3 , 1 , 8 , 250 ", Some((3, 1, 8, 250)))]
#[case("0,0,0,0", Some((0, 0, 0, 1)))]
#[case("99999999999999999999,0,8,100", Some((1_000_000, 0, 8, 100)))]
#[case("3,0,8,99999999999", Some((3, 0, 8, 10_000)))]
#[case("", None)]
#[case("3,0", None)]
#[case("3,0,8,", None)]
#[case("3,0,8,100,7", None)]
#[case("3,-1,8,100", None)]
#[case("3,0,8,1.5", None)]
#[case("3,0,8,slow", None)]
fn figures_are_read_within_bounds(
    #[case] text: &str,
    #[case] expected: Option<(u32, u32, u32, u16)>,
) {
    let load = BackendLoad::parse(text);
    let figures = load.map(|load| (load.running, load.waiting, load.slots, load.slowness));
    assert_eq!(figures, expected);
}

proptest! {
    #[test]
    fn any_text_is_read_or_ignored(text in ".{0,40}") {
        if let Some(load) = BackendLoad::parse(&text) {
            prop_assert!(load.running <= 1_000_000 && load.slowness <= 10_000);
        }
    }
}
