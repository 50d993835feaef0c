//! Measures the time and memory for parsing, storing and querying a contract of the largest size
//! that the system is designed for.
//!
//! Run it with `cargo run --release -p lentilshift-contract --example contract_size`.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use lentilshift_contract::{ContractParser, FleetContract};

const SERVICES: usize = 530;
const SIZES: [usize; 5] = [10, 50, 130, 265, 530];
const CALLS_PER_SERVICE: usize = 6;
const TEAMS: usize = 400;
const DEPTH: usize = 11;
const PARSES: u32 = 50;
const LOOKUPS: u32 = 1_000_000;

fn main() {
    let text = contract_text(SERVICES);
    let before_kb = resident_kb();
    let contract = parse(&text);
    let after_kb = resident_kb();
    let clones: Vec<_> = (0..PARSES).map(|_| contract.clone()).collect();
    let kept_kb = (resident_kb() - after_kb) / u64::from(PARSES);
    drop(clones);

    let start = Instant::now();
    for _ in 0..PARSES {
        black_box(parse(&text));
    }
    let parse_us = start.elapsed().as_micros() / u128::from(PARSES);

    let start = Instant::now();
    for _ in 0..LOOKUPS {
        let call = contract.find_call("service-number-0400", "GET", "/resource-3/items/17");
        black_box(call);
    }
    let lookup_ns = start.elapsed().as_nanos() / u128::from(LOOKUPS);

    println!("services={SERVICES} calls_per_service={CALLS_PER_SERVICE} teams={TEAMS}");
    println!("text_bytes={} parse_us={parse_us}", text.len());
    println!("first_parse_kb={} kept_kb={kept_kb}", after_kb - before_kb);
    println!("find_call_ns={lookup_ns}");
    SIZES.into_iter().for_each(measure_changes);
}

/// Measures parsing a whole text and parsing only the changes between two texts.
fn measure_changes(services: usize) {
    let text = contract_text(services);
    let team_rates = [text.replace("= 200", "= 201"), text.clone()];
    let new_value = text.replacen("deadline_ms = 800", "deadline_ms = 801", 1);
    let new_graph = text.replacen("depends_on = [\"service-number-0000\"]", "", 1);
    let whole_us = mean_us(&[&new_value, &text], |text| drop(black_box(parse(text))));
    let mut parser = ContractParser::default();
    let mut change = |text: &str| drop(black_box(parser.parse("fleet.toml", text)));
    change(&text);
    let value_us = mean_us(&[&new_value, &text], &mut change);
    let graph_us = mean_us(&[&new_graph, &text], &mut change);
    let teams_us = mean_us(&[&team_rates[0], &team_rates[1]], &mut change);
    println!(
        "services={services} text_bytes={} whole_us={whole_us} value_us={value_us} \
         graph_us={graph_us} all_teams_us={teams_us}",
        text.len()
    );
}

fn mean_us(texts: &[&str], mut parse: impl FnMut(&str)) -> u128 {
    let start = Instant::now();
    for index in 0..PARSES as usize {
        parse(texts[index % texts.len()]);
    }
    start.elapsed().as_micros() / u128::from(PARSES)
}

fn parse(text: &str) -> FleetContract {
    FleetContract::parse("fleet.toml", text).expect("the text is valid")
}

fn contract_text(services: usize) -> String {
    let mut text = String::new();
    for service in 0..services {
        write_service(service, &mut text);
    }
    for team in 0..TEAMS {
        let header = format!("[teams.team-number-{team:04}]");
        writeln!(text, "{header}\nrate_per_s = 200\nburst = 400\n")
            .expect("writing to a string succeeds");
    }
    text
}

fn write_service(service: usize, text: &mut String) {
    let name = format!("service-number-{service:04}");
    writeln!(text, "[services.{name}]").expect("writing to a string succeeds");
    if !service.is_multiple_of(DEPTH) {
        let dependency = format!("service-number-{:04}", service - 1);
        writeln!(text, "depends_on = [\"{dependency}\"]").expect("writing to a string succeeds");
    }
    for call in 0..CALLS_PER_SERVICE {
        writeln!(
            text,
            "[services.{name}.calls.call-{call}]\nmethod = \"GET\"\npath = \"/resource-{call}\"\n\
             importance = \"high\"\ndeadline_ms = 800\n"
        )
        .expect("writing to a string succeeds");
    }
}

/// Returns the resident memory of the process, in KB, or 0 where the system doesn't report it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
