//! Links between nodes that stall, lose one direction, delay data or break.

mod fleet;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use fleet::Fleet;
use fleet::link_proxy::{LinkDirection, LinkProxy};
use futures_util::future::join_all;
use lentilshift_node::NodeSettings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::BackendSettings;
use wire::LinkSettings;

/// The interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// The deadline of a request, in milliseconds.
const DEADLINE_MS: &str = "4000";

/// The time for which a request is repeated on 429, until the team's tokens arrive.
const TOKEN_WAIT: Duration = Duration::from_secs(4);

/// What the caller learned about one request.
#[derive(Debug)]
struct RequestOutcome {
    trace: String,
    status: u16,
    verdict: String,
}

/// Starts an entry node and two backend servers that it reaches through link proxies.
async fn two_behind_links(link: LinkSettings) -> (Fleet, [Rc<LinkProxy>; 2]) {
    two_behind_links_with(link, LinkSettings::default()).await
}

/// As [`two_behind_links`], with link settings for the accepting nodes.
async fn two_behind_links_with(
    link: LinkSettings,
    accepting: LinkSettings,
) -> (Fleet, [Rc<LinkProxy>; 2]) {
    let mut fleet = Fleet::start().await;
    let entry = BackendSettings::default();
    fleet
        .add_with_settings("entry", "registry", entry, |settings| NodeSettings {
            link,
            ..settings
        })
        .await;
    let backend = BackendSettings {
        run_ms: 20,
        ..BackendSettings::default()
    };
    let first = fleet
        .add_behind_proxy("filings-1", "filings", backend.clone(), accepting)
        .await;
    let second = fleet
        .add_behind_proxy("filings-2", "filings", backend, accepting)
        .await;
    fleet.wait_until_warm().await;
    (fleet, [first, second])
}

async fn send_one(fleet: &Fleet, trace: String, method: &str) -> RequestOutcome {
    let headers = [
        ("x-trace", trace.as_str()),
        ("lentilshift-deadline-ms", DEADLINE_MS),
    ];
    let path = format!("/filings/filings/{trace}");
    let started = Instant::now();
    let mut answer = fleet.send_with(0, method, &path, &headers).await;
    while answer.status() == 429 && started.elapsed() < TOKEN_WAIT {
        sleep(REQUEST_INTERVAL).await;
        answer = fleet.send_with(0, method, &path, &headers).await;
    }
    RequestOutcome {
        status: answer.status().as_u16(),
        verdict: answer.headers()["lentilshift-verdict"]
            .to_str()
            .unwrap()
            .to_owned(),
        trace,
    }
}

/// Starts `count` requests at [`REQUEST_INTERVAL`], and calls `break_link` before request
/// `break_at`.
async fn send_during(
    fleet: &Fleet,
    method: &str,
    count: usize,
    break_at: usize,
    break_link: impl Fn(),
) -> Vec<RequestOutcome> {
    let sends = (0..count).map(|n| {
        let break_link = &break_link;
        async move {
            sleep(REQUEST_INTERVAL * u32::try_from(n).unwrap()).await;
            if n == break_at {
                break_link();
            }
            send_one(fleet, format!("{method}-{n}"), method).await
        }
    });
    join_all(sends).await
}

/// Checks the statuses and verdicts against what the backend servers ran.
fn check_outcomes(fleet: &Fleet, outcomes: &[RequestOutcome]) {
    for outcome in outcomes {
        let runs = fleet.runs(&outcome.trace);
        if outcome.verdict == "not-run" {
            assert_eq!(runs, 0, "{outcome:?}");
        }
        if outcome.status == 200 {
            assert!(runs > 0, "{outcome:?}");
        }
        if outcome.trace.starts_with("POST") {
            assert!(runs <= 1, "{outcome:?} ran {runs} times");
        }
    }
}

/// Counts the requests by status.
fn count_statuses(outcomes: &[RequestOutcome]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for outcome in outcomes {
        *counts.entry(outcome.status).or_default() += 1;
    }
    counts
}

fn count_failed(outcomes: &[RequestOutcome]) -> usize {
    outcomes
        .iter()
        .filter(|outcome| outcome.status != 200)
        .count()
}

#[rstest]
#[case::get("GET")]
#[case::post("POST")]
#[compio::test]
async fn silent_links_cost_few_requests(#[case] method: &str) {
    let without_probes = LinkSettings {
        busy_probe_interval_ms: 3_600_000,
        ..LinkSettings::default()
    };
    let mut failed = Vec::new();
    for link in [LinkSettings::default(), without_probes] {
        let (fleet, proxies) = two_behind_links(link).await;
        let silence = || proxies.iter().for_each(|proxy| proxy.silence());
        let outcomes = send_during(&fleet, method, 150, 30, silence).await;
        check_outcomes(&fleet, &outcomes);
        println!("{method}: {:?}", count_statuses(&outcomes));
        failed.push(count_failed(&outcomes));
    }
    println!(
        "{method}: {} of 150 failed, without probes {}",
        failed[0], failed[1]
    );
    if method == "GET" {
        assert_eq!(failed[0], 0, "reads are retried");
    }
    assert!(failed[1] > 2 * failed[0], "{failed:?}");
}

#[rstest]
#[case::requests("GET", LinkDirection::Forward)]
#[case::answers("GET", LinkDirection::Backward)]
#[case::requests("POST", LinkDirection::Forward)]
#[case::answers("POST", LinkDirection::Backward)]
#[compio::test]
async fn a_one_way_loss_gives_no_false_verdict(
    #[case] method: &str,
    #[case] direction: LinkDirection,
) {
    let (fleet, proxies) = two_behind_links(LinkSettings::default()).await;
    let block = || proxies[0].set_blocked(Some(direction));
    let outcomes = send_during(&fleet, method, 100, 30, block).await;
    check_outcomes(&fleet, &outcomes);
    println!(
        "{method} {direction:?}: {:?} of 100",
        count_statuses(&outcomes)
    );
    if method == "GET" {
        let failed: Vec<&RequestOutcome> = outcomes
            .iter()
            .filter(|outcome| outcome.status != 200)
            .collect();
        assert!(failed.is_empty(), "reads are retried: {failed:?}");
    }
    proxies[0].set_blocked(None);
    sleep(Duration::from_secs(1)).await;
    let after = send_one(&fleet, "after".to_owned(), "GET").await;
    assert_eq!(after.status, 200);
}

/// Sends bursts of reads before and after the node has detected the dead link. The call is open, so
/// that no team rate applies.
#[rstest]
#[case::requests(LinkDirection::Forward)]
#[case::answers(LinkDirection::Backward)]
#[compio::test]
async fn reads_do_not_queue_for_a_dead_link(#[case] direction: LinkDirection) {
    let (fleet, proxies) = two_behind_links(LinkSettings::default()).await;
    proxies[0].set_blocked(Some(direction));
    let headers = [("lentilshift-deadline-ms", DEADLINE_MS)];
    for round in 0..3 {
        let sends = (0..60).map(|_| fleet.send_with(0, "GET", "/filings/watch/1", &headers));
        let answers = join_all(sends).await;
        let failed = answers.iter().filter(|answer| answer.status() != 200);
        assert_eq!(failed.count(), 0, "round {round}");
    }
}

/// Link settings with a short idle timeout.
fn short_idle_close() -> LinkSettings {
    LinkSettings {
        idle_close_ms: 40,
        ..LinkSettings::default()
    }
}

/// Sends requests at intervals close to the idle timeout of the links, so that some meet a link
/// that is closing.
#[rstest]
#[case::by_calling_ends(short_idle_close(), LinkSettings::default(), 1)]
#[case::by_answering_ends(LinkSettings::default(), short_idle_close(), 2)]
#[case::by_both(short_idle_close(), short_idle_close(), 3)]
#[compio::test]
async fn no_call_is_lost_while_idle_links_close(
    #[case] opening: LinkSettings,
    #[case] accepting: LinkSettings,
    #[case] seed: u64,
) {
    let (fleet, proxies) = two_behind_links_with(opening, accepting).await;
    let mut random = SmallRng::seed_from_u64(seed);
    let opened_before: u64 = proxies.iter().map(|proxy| proxy.opened()).sum();
    for n in 0..100 {
        sleep(Duration::from_millis(random.random_range(15..90))).await;
        let method = if n % 2 == 0 { "GET" } else { "POST" };
        let trace = format!("{method}-{n}");
        let headers = [("x-trace", trace.as_str())];
        let answer = fleet.send_with(0, method, "/filings/watch/1", &headers);
        assert_eq!(answer.await.status(), 200, "{trace}");
        assert_eq!(fleet.runs(&trace), 1, "{trace}");
    }
    let opened: u64 = proxies.iter().map(|proxy| proxy.opened()).sum();
    println!("{} links reopened", opened - opened_before);
    assert!(opened > opened_before + 5, "idle links were not closed");
}

/// Sends a read whose answer has `bytes` bytes, and returns whether it arrived complete.
async fn read_answer(fleet: &Fleet, bytes: usize, run_ms: u64) -> bool {
    let path = format!("/filings/filings/{bytes}?bytes={bytes}&ms={run_ms}");
    let answer = fleet.send_admitted(0, "GET", &path, &[]).await;
    if answer.status() != 200 {
        return false;
    }
    match answer.bytes().await {
        Ok(body) => {
            assert_eq!(
                body.len(),
                bytes,
                "the answer is truncated or belongs to another request"
            );
            true
        }
        Err(_) => false,
    }
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[compio::test]
async fn answers_are_complete_and_match_their_request(#[case] seed: u64) {
    let (fleet, proxies) = two_behind_links(LinkSettings::default()).await;
    let mut random = SmallRng::seed_from_u64(seed);
    for proxy in &proxies {
        proxy.set_max_delay_ms(3);
    }
    let plan: Vec<(usize, u64, u64)> = (0..80)
        .map(|n| {
            let bytes = random.random_range(0..400) * 101 + n;
            let run_ms = random.random_range(0..60);
            (bytes, run_ms, random.random_range(0..1_500))
        })
        .collect();
    let breaks: Vec<(u64, usize)> = (0..4)
        .map(|_| (random.random_range(50..400), random.random_range(0..2)))
        .collect();
    let reads = plan.into_iter().map(|(bytes, run_ms, wait_ms)| {
        let fleet = &fleet;
        async move {
            sleep(Duration::from_millis(wait_ms)).await;
            read_answer(fleet, bytes, run_ms).await
        }
    });
    let breaking = async {
        for (wait_ms, index) in breaks {
            sleep(Duration::from_millis(wait_ms)).await;
            proxies[index].reset();
        }
    };
    let (answers, ()) = futures_util::join!(join_all(reads), breaking);
    let complete = answers.iter().filter(|is_complete| **is_complete).count();
    println!("seed {seed}: {complete} of 80 complete, the others reported as failed");
    assert!(complete > 40, "{complete} of 80");
}
