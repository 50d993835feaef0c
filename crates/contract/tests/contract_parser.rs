//! The incremental parser returns the same result as parsing the whole text.

use lentilshift_contract::{ContractParser, FleetContract};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;

/// Lines that yield valid texts, texts with faults and texts that can't be split into blocks.
const LINES: [&str; 26] = [
    "[services.a]",
    "[services.b]",
    "[services.c]",
    "[services.a.calls.x]",
    "[services.b.calls.x]",
    "[services.b.calls.y]",
    "[services.c]  # note",
    "[services.a.calls.\"q\"]",
    "[services.\"a\"]",
    "[teams.t]",
    "[teams.u]",
    "[teams]",
    "rate_per_s = 5",
    "burst = 9",
    "depends_on = [\"b\"]",
    "depends_on = [\"c\"]",
    "depends_on = [",
    "  \"c\",",
    "]",
    "path = \"/x\"",
    "path = \"/y\"",
    "path = '''/x",
    "'''",
    "# note",
    "",
    "t.burst = 4",
];

const START: &str = "# fleet\n[services.a]\ndepends_on = [\"b\"]\n[services.a.calls.x]\npath = \"/x\"\n\
                     [services.b]\n[services.c]\n[teams.t]\nrate_per_s = 5\nburst = 9\n";

/// Inserts, removes, replaces or truncates a random line.
fn edit(text: &str, random: &mut SmallRng) -> String {
    let mut lines: Vec<&str> = text.split_inclusive('\n').collect();
    let at = random.random_range(0..=lines.len());
    let line = format!("{}\n", LINES.choose(random).expect("there are lines"));
    match random.random_range(0..4) {
        0 => lines.insert(at, &line),
        1 if at < lines.len() => lines[at] = &line,
        2 if at < lines.len() => drop(lines.remove(at)),
        3 if at < lines.len() => lines[at] = &lines[at][..random.random_range(0..lines[at].len())],
        _ => {}
    }
    lines.concat()
}

#[test]
fn random_edits_parse_like_the_whole_text() {
    let mut valid = 0;
    for seed in 0..400 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut parser = ContractParser::default();
        let mut text = START.to_owned();
        for _ in 0..60 {
            let whole = FleetContract::parse("fleet.toml", &text);
            let changed = parser.parse("fleet.toml", &text);
            let changed = changed.map(|contract| (*contract).clone());
            let (whole, changed) = (
                whole.map_err(|error| error.to_string()),
                changed.map_err(|error| error.to_string()),
            );
            assert_eq!(changed, whole, "seed {seed}:\n{text}");
            valid += u32::from(whole.is_ok());
            let last = text.clone();
            text = edit(&text, &mut random);
            let is_valid = FleetContract::parse("fleet.toml", &text).is_ok();
            if !is_valid && random.random_ratio(3, 4) {
                text = last;
            }
        }
    }
    assert!(valid > 1_000, "{valid} texts were valid");
}

#[rstest]
#[case::a_value("path = \"/x\"", "path = \"/z\"")]
#[case::a_dependency("[\"b\"]", "[\"c\"]")]
#[case::a_new_service("[services.c]\n", "[services.c]\n[services.d]\n")]
#[case::one_less("[services.c]\n", "")]
#[case::one_turned_into_a_cycle("[services.b]\n", "[services.b]\ndepends_on = [\"a\"]\n")]
#[case::a_service_twice("[services.c]\n", "[services.c]\n[services.b]\n")]
#[case::a_team_without_header("[teams.t]\n", "")]
#[case::a_joined_line("[services.b]\n", "[services.b]")]
fn change_parses_like_the_whole_text(#[case] from: &str, #[case] to: &str) {
    let mut parser = ContractParser::default();
    parser
        .parse("fleet.toml", START)
        .expect("the text is valid");
    let text = START.replace(from, to);
    let whole = FleetContract::parse("fleet.toml", &text).map_err(|error| error.to_string());
    let changed = parser
        .parse("fleet.toml", &text)
        .map_err(|error| error.to_string());
    assert_eq!(changed.map(|contract| (*contract).clone()), whole);
}
