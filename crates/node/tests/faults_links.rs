//! Links between nodes that go silent, are cut one way, delay or break.

mod fleet;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::time::sleep;
use fleet::Fleet;
use fleet::link_proxy::{LinkProxy, LinkWay};
use futures_util::future::join_all;
use lentilshift_node::NodeSettings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::BackendSettings;
use wire::LinkSettings;

/// The time between two requests.
const EVERY: Duration = Duration::from_millis(10);
/// The time that a caller gives a request, in milliseconds.
const DEADLINE_MS: &str = "4000";

/// The time for which a request is sent again while its team's tokens are on their way.
const TOKENS_WITHIN: Duration = Duration::from_secs(4);

/// What a caller was told of one request.
#[derive(Debug)]
struct Told {
    trace: String,
    status: u16,
    verdict: String,
}

/// Starts a node for callers and two backend servers that it reaches over breakable links.
async fn two_behind_links(link: LinkSettings) -> (Fleet, [Rc<LinkProxy>; 2]) {
    two_answering(link, LinkSettings::default()).await
}

/// The same with settings for the answering ends.
async fn two_answering(link: LinkSettings, answering: LinkSettings) -> (Fleet, [Rc<LinkProxy>; 2]) {
    let mut fleet = Fleet::start().await;
    let entry = BackendSettings::default();
    fleet
        .add_with("entry", "registry", entry, |settings| NodeSettings {
            link,
            ..settings
        })
        .await;
    let backend = BackendSettings {
        run_ms: 20,
        ..BackendSettings::default()
    };
    let first = fleet
        .add_proxied("filings-1", "filings", backend.clone(), answering)
        .await;
    let second = fleet
        .add_proxied("filings-2", "filings", backend, answering)
        .await;
    fleet.settle().await;
    (fleet, [first, second])
}

async fn send_one(fleet: &Fleet, trace: String, method: &str) -> Told {
    let headers = [
        ("x-trace", trace.as_str()),
        ("lentilshift-deadline-ms", DEADLINE_MS),
    ];
    let path = format!("/filings/filings/{trace}");
    let begun = Instant::now();
    let mut answer = fleet.send_with(0, method, &path, &headers).await;
    while answer.status() == 429 && begun.elapsed() < TOKENS_WITHIN {
        sleep(EVERY).await;
        answer = fleet.send_with(0, method, &path, &headers).await;
    }
    Told {
        status: answer.status().as_u16(),
        verdict: answer.headers()["lentilshift-verdict"]
            .to_str()
            .unwrap()
            .to_owned(),
        trace,
    }
}

/// Sends `count` requests, one after the other begun, and does something at one of them.
async fn send_during(
    fleet: &Fleet,
    method: &str,
    count: usize,
    break_at: usize,
    break_link: impl Fn(),
) -> Vec<Told> {
    let sends = (0..count).map(|n| {
        let break_link = &break_link;
        async move {
            sleep(EVERY * u32::try_from(n).unwrap()).await;
            if n == break_at {
                break_link();
            }
            send_one(fleet, format!("{method}-{n}"), method).await
        }
    });
    join_all(sends).await
}

/// Compares what callers were told with what the backend servers ran.
fn check_truth(fleet: &Fleet, told: &[Told]) {
    for one in told {
        let runs = fleet.runs(&one.trace);
        if one.verdict == "not-run" {
            assert_eq!(runs, 0, "{one:?}");
        }
        if one.status == 200 {
            assert!(runs > 0, "{one:?}");
        }
        if one.trace.starts_with("POST") {
            assert!(runs <= 1, "{one:?} ran {runs} times");
        }
    }
}

/// Returns how often each status was told.
fn statuses(told: &[Told]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for one in told {
        *counts.entry(one.status).or_default() += 1;
    }
    counts
}

fn count_failed(told: &[Told]) -> usize {
    told.iter().filter(|one| one.status != 200).count()
}

#[rstest]
#[case::get("GET")]
#[case::post("POST")]
#[compio::test]
async fn silent_links_cost_few_requests(#[case] method: &str) {
    let naive = LinkSettings {
        busy_probe_interval_ms: 3_600_000,
        ..LinkSettings::default()
    };
    let mut failed = Vec::new();
    for link in [LinkSettings::default(), naive] {
        let (fleet, proxies) = two_behind_links(link).await;
        let silence = || proxies.iter().for_each(|proxy| proxy.silence());
        let told = send_during(&fleet, method, 150, 30, silence).await;
        check_truth(&fleet, &told);
        println!("{method}: {:?}", statuses(&told));
        failed.push(count_failed(&told));
    }
    println!("{method}: {} of 150 failed, naive {}", failed[0], failed[1]);
    if method == "GET" {
        assert_eq!(failed[0], 0, "reads are sent again");
    }
    assert!(failed[1] > 2 * failed[0], "{failed:?}");
}

#[rstest]
#[case::requests("GET", LinkWay::Forward)]
#[case::answers("GET", LinkWay::Backward)]
#[case::requests("POST", LinkWay::Forward)]
#[case::answers("POST", LinkWay::Backward)]
#[compio::test]
async fn a_one_way_cut_gives_no_false_verdict(#[case] method: &str, #[case] way: LinkWay) {
    let (fleet, proxies) = two_behind_links(LinkSettings::default()).await;
    let cut = || proxies[0].set_cut(Some(way));
    let told = send_during(&fleet, method, 100, 30, cut).await;
    check_truth(&fleet, &told);
    println!("{method} {way:?}: {:?} of 100", statuses(&told));
    if method == "GET" {
        let failed: Vec<&Told> = told.iter().filter(|one| one.status != 200).collect();
        assert!(failed.is_empty(), "reads are sent again: {failed:?}");
    }
    proxies[0].set_cut(None);
    sleep(Duration::from_secs(1)).await;
    let after = send_one(&fleet, "after".to_owned(), "GET").await;
    assert_eq!(after.status, 200);
}

/// Reads come at a time, while nothing is known of the link yet and once it is known to be dead;
/// the route is open to all, so that no rate plays a part.
#[rstest]
#[case::requests(LinkWay::Forward)]
#[case::answers(LinkWay::Backward)]
#[compio::test]
async fn reads_do_not_wait_in_line_for_a_dead_link(#[case] way: LinkWay) {
    let (fleet, proxies) = two_behind_links(LinkSettings::default()).await;
    proxies[0].set_cut(Some(way));
    let headers = [("lentilshift-deadline-ms", DEADLINE_MS)];
    for round in 0..3 {
        let sends = (0..60).map(|_| fleet.send_with(0, "GET", "/filings/watch/1", &headers));
        let answers = join_all(sends).await;
        let failed = answers.iter().filter(|answer| answer.status() != 200);
        assert_eq!(failed.count(), 0, "round {round}");
    }
}

/// The settings of an end that closes a link soon.
fn closing_soon() -> LinkSettings {
    LinkSettings {
        idle_close_ms: 40,
        ..LinkSettings::default()
    }
}

/// Requests come at times around that at which an idle link is closed.
#[rstest]
#[case::by_calling_ends(closing_soon(), LinkSettings::default(), 1)]
#[case::by_answering_ends(LinkSettings::default(), closing_soon(), 2)]
#[case::by_both(closing_soon(), closing_soon(), 3)]
#[compio::test]
async fn no_call_is_lost_while_idle_links_close(
    #[case] calling: LinkSettings,
    #[case] answering: LinkSettings,
    #[case] seed: u64,
) {
    let (fleet, proxies) = two_answering(calling, answering).await;
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
    println!("{} links opened anew", opened - opened_before);
    assert!(opened > opened_before + 5, "idle links weren't closed");
}

/// Sends a read whose answer has a length of its own, and returns whether it came whole.
async fn read_whole(fleet: &Fleet, bytes: usize, run_ms: u64) -> bool {
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
                "an answer that isn't whole or not its own"
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
async fn answers_are_whole_and_of_their_own_request(#[case] seed: u64) {
    let (fleet, proxies) = two_behind_links(LinkSettings::default()).await;
    let mut random = SmallRng::seed_from_u64(seed);
    for proxy in &proxies {
        proxy.set_delay_ms(3);
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
            read_whole(fleet, bytes, run_ms).await
        }
    });
    let breaking = async {
        for (wait_ms, index) in breaks {
            sleep(Duration::from_millis(wait_ms)).await;
            proxies[index].reset();
        }
    };
    let (answers, ()) = futures_util::join!(join_all(reads), breaking);
    let whole = answers.iter().filter(|is_whole| **is_whole).count();
    println!("seed {seed}: {whole} of 80 whole, the others told so");
    assert!(whole > 40, "{whole} of 80");
}
