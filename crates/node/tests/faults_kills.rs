//! Nodes are killed and replaced while once calls are in flight.
//!
//! Guards against a second run of a call and against verdicts that contradict what ran.

mod fleet;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::time::{sleep, timeout};
use fleet::killable_node::KillableNode;
use fleet::{Fleet, KEY};
use futures_util::future::join_all;
use model::VmName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::{BackendServer, BackendSettings};

/// The number of nodes of the service.
const NODES: usize = 3;
/// The number of kills in one schedule.
const KILLS: usize = 4;
/// The number of schedules, unless `LENTILSHIFT_SEEDS` is set.
const SEEDS: u64 = 1;

/// The backend servers of a service, each with a killable node.
struct KillableService {
    fleet: Fleet,
    backends: Vec<Rc<BackendServer>>,
    nodes: Vec<KillableNode>,
    start_count: usize,
}

impl KillableService {
    async fn start() -> Self {
        let mut fleet = Fleet::start().await;
        let registry = BackendSettings::default();
        fleet.add("stays", "registry", registry).await;
        fleet.wait_until_warm().await;
        let mut service = Self {
            fleet,
            backends: Vec::new(),
            nodes: Vec::new(),
            start_count: 0,
        };
        for _ in 0..NODES {
            let settings = BackendSettings {
                run_ms: 10,
                ..BackendSettings::default()
            };
            let backend = BackendServer::start(settings).await.unwrap();
            service.backends.push(backend);
            let node = service.start_node(service.backends.len() - 1);
            service.nodes.push(node);
        }
        service.wait_ready().await;
        service
    }

    fn start_node(&mut self, index: usize) -> KillableNode {
        self.start_count += 1;
        let name = VmName::new(format!("filings-{index}-{}", self.start_count));
        let backend = &self.backends[index];
        KillableNode::start(self.fleet.settings(name, "filings".into(), backend))
    }

    /// Kills a node and starts another one for its backend server.
    fn replace(&mut self, index: usize) {
        self.nodes[index] = self.start_node(index);
    }

    async fn wait_ready(&self) {
        for node in &self.nodes {
            let url = format!("http://{}/filings/status", node.caller_address);
            for _ in 0..500 {
                let request = self.fleet.client.get(&url).unwrap();
                let answer = timeout(Duration::from_secs(1), request.send()).await;
                if matches!(answer, Ok(Ok(answer)) if answer.status() == 200) {
                    break;
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn runs(&self, key: &str) -> usize {
        let records = self.backends.iter().map(|backend| backend.record());
        let runs = records.map(|record| record.runs_by_trace().get(key).copied());
        runs.map(Option::unwrap_or_default).sum()
    }
}

/// Sends a once call and returns the status and the verdict; `None` if the connection broke or no
/// answer arrived in time.
async fn send_once_call(address: SocketAddr, key: &str, wait_ms: u64) -> Option<(u16, String)> {
    sleep(Duration::from_millis(wait_ms)).await;
    let client = cyper::Client::new().unwrap();
    let request = client
        .post(format!("http://{address}/filings/charges"))
        .unwrap();
    let request = request.header("x-api-key", KEY).unwrap();
    let request = request.header("x-trace", key).unwrap();
    let request = request.header("idempotency-key", key).unwrap();
    let request = request.header("lentilshift-deadline-ms", "3000").unwrap();
    let sending = request.body("amount=7").send();
    let answer = timeout(Duration::from_secs(4), sending).await.ok()?.ok()?;
    let verdict = answer.headers()["lentilshift-verdict"].to_str().unwrap();
    Some((answer.status().as_u16(), verdict.to_owned()))
}

#[derive(Debug, Default)]
struct KillCounts {
    calls: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
}

async fn run_schedule(seed: u64, counts: &mut KillCounts) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut service = KillableService::start().await;
    for kill in 0..KILLS {
        let keys: Vec<String> = (0..4).map(|n| format!("{seed}-{kill}-{n}")).collect();
        let mut duplicates = Vec::new();
        for key in &keys {
            for _ in 0..3 {
                let address = service.nodes[random.random_range(0..NODES)].caller_address;
                duplicates.push((key.clone(), address, random.random_range(0..60)));
            }
        }
        let sending = duplicates.into_iter().map(|(key, address, wait_ms)| {
            let task = async move { (send_once_call(address, &key, wait_ms).await, key) };
            compio::runtime::spawn(task)
        });
        let sending: Vec<_> = sending.collect();
        sleep(Duration::from_millis(random.random_range(0..90))).await;
        service.replace(random.random_range(0..NODES));
        let mut outcomes: Vec<_> = join_all(sending)
            .await
            .into_iter()
            .map(Result::unwrap)
            .collect();
        service.wait_ready().await;
        for key in &keys {
            let address = service.nodes[random.random_range(0..NODES)].caller_address;
            outcomes.push((send_once_call(address, key, 0).await, key.clone()));
        }
        for key in &keys {
            check_key(&service, key, &outcomes, counts);
        }
    }
}

/// Checks the answers to the requests with one key against the runs at the backend servers.
fn check_key(
    service: &KillableService,
    key: &str,
    outcomes: &[(Option<(u16, String)>, String)],
    counts: &mut KillCounts,
) {
    let runs = service.runs(key);
    let of_key = outcomes.iter().filter(|(_, other)| other == key);
    let answers: Vec<_> = of_key.map(|(answer, _)| answer).collect();
    assert!(runs <= 1, "{key} ran {runs} times: {answers:?}");
    let is_not_run = |answer: &Option<(u16, String)>| {
        answer
            .as_ref()
            .is_some_and(|(_, verdict)| verdict == "not-run")
    };
    let is_ok =
        |answer: &Option<(u16, String)>| answer.as_ref().is_some_and(|(status, _)| *status == 200);
    if answers.iter().all(|answer| is_not_run(answer)) {
        assert_eq!(runs, 0, "{key}: {answers:?}");
    }
    if answers.iter().any(|answer| is_ok(answer)) {
        assert_eq!(runs, 1, "{key}: {answers:?}");
    }
    counts.calls += answers.len();
    counts.answered += answers.iter().filter(|answer| is_ok(answer)).count();
    counts.not_run += answers.iter().filter(|answer| is_not_run(answer)).count();
    counts.unknown = counts.calls - counts.answered - counts.not_run;
}

#[rstest]
#[compio::test]
async fn kills_during_once_calls_cause_no_second_run() {
    let seeds = std::env::var("LENTILSHIFT_SEEDS").ok();
    let seeds = seeds.map_or(SEEDS, |seeds| seeds.parse().unwrap());
    let mut counts = KillCounts::default();
    for seed in 0..seeds {
        run_schedule(seed, &mut counts).await;
    }
    println!("{seeds} schedules of {KILLS} kills: {counts:?}");
    assert!(counts.answered > 0);
}
