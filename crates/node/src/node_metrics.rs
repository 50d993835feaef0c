use std::time::Duration;

use clock::ClockTime;
use limit::CloseReason;
use model::{RefusalReason, ServiceName};
use prometheus::{
    Counter, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use streams::ConfigVersion;
use wire::AnswerHead;

use crate::load_metrics::LoadMetrics;
use crate::task_loop::loop_rounds;
use crate::usage_report::processor_ms;

/// The upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 13] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];
/// The number of milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// The metrics of a node.
pub(crate) struct NodeMetrics {
    registry: Registry,
    calls: IntCounterVec,
    refusals: IntCounterVec,
    latency: HistogramVec,
    /// The load of the local backend server, and what is known of that of others.
    pub(crate) load: LoadMetrics,
    retries: IntCounter,
    /// The calls that arrived for the local backend server.
    pub(crate) arrived: IntCounter,
    /// The calls that this node sent on behalf of callers and the backend server.
    pub(crate) sent: IntCounter,
    /// The requests sent to the local backend server.
    pub(crate) backend_requests: IntCounter,
    pub(crate) stated_rate: Gauge,
    pub(crate) warm_up_rate: Gauge,
    /// The questions to the backend server about its state.
    pub(crate) questions: IntCounter,
    /// How often a stream was found to have come back without its last records.
    pub(crate) log_returns: IntCounter,
    loop_rounds: IntCounter,
    processor: Counter,
    backend_failures: IntCounter,
    contract_version: IntGauge,
    evacuated_centres: IntGauge,
    refused_version: IntGauge,
    /// The requests that were started before earlier ones of their connection were answered.
    pub(crate) requests_ahead: IntCounter,
    pub(crate) ahead_bytes: IntGauge,
    pub(crate) client_bytes: IntGauge,
    client_closures: IntCounterVec,
}

impl NodeMetrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            calls: counters(
                "lentilshift_calls_total",
                "Calls answered, by part of the node, service and verdict.",
                &["part", "service", "verdict"],
            ),
            refusals: counters(
                "lentilshift_refusals_total",
                "Calls refused or given up by a node, by part of the node and reason.",
                &["part", "reason"],
            ),
            latency: latency_histogram(),
            load: LoadMetrics::new(),
            retries: counter(
                "lentilshift_retries_total",
                "Calls sent again to another VM.",
            ),
            arrived: counter(
                "lentilshift_arrived_calls_total",
                "Calls that arrived for the local backend server.",
            ),
            sent: counter(
                "lentilshift_sent_calls_total",
                "Calls of callers and of the backend server that the node sent on their way.",
            ),
            backend_requests: counter(
                "lentilshift_backend_requests_total",
                "Requests sent to the backend server.",
            ),
            stated_rate: float_gauge(
                "lentilshift_stated_rate_per_second",
                "Requests per second that the backend server accepts; 0 if it states no rate.",
            ),
            warm_up_rate: float_gauge(
                "lentilshift_warm_up_rate_per_second",
                "Requests per second sent to a backend server that may be cold; 0 if it is warm.",
            ),
            questions: counter(
                "lentilshift_backend_questions_total",
                "Questions to the backend server about its state.",
            ),
            log_returns: counter(
                "lentilshift_log_returns_total",
                "Times that a stream of the log came back without its last records.",
            ),
            loop_rounds: counter(
                "lentilshift_loop_rounds_total",
                "Times that the node has asked the system for events.",
            ),
            processor: Counter::new(
                "lentilshift_processor_seconds_total",
                "Processor time of the process, in seconds.",
            )
            .expect("the counter's name is valid"),
            backend_failures: counter(
                "lentilshift_backend_failures_total",
                "Calls that the backend server failed while they ran.",
            ),
            evacuated_centres: gauge(
                "lentilshift_evacuated_centres",
                "Data centres whose backend servers get no requests.",
            ),
            contract_version: gauge(
                "lentilshift_contract_version",
                "Version of the contract in force; 0 for none.",
            ),
            refused_version: gauge(
                "lentilshift_contract_refused_version",
                "Version of the newest text that stays out of force for its faults; 0 for none.",
            ),
            requests_ahead: counter(
                "lentilshift_requests_ahead_total",
                "Requests started before earlier ones of their connection were answered.",
            ),
            ahead_bytes: gauge(
                "lentilshift_ahead_bytes",
                "Bytes held of requests sent ahead and of answers that wait for their turn.",
            ),
            client_bytes: gauge(
                "lentilshift_client_bytes",
                "Bytes that the node holds for its clients, by its own count.",
            ),
            client_closures: counters(
                "lentilshift_client_closures_total",
                "Connections of clients that the node closed, by reason.",
                &["reason"],
            ),
            registry,
        };
        for reason in CloseReason::ALL {
            metrics
                .client_closures
                .with_label_values(&[reason.as_str()]);
        }
        metrics.register();
        metrics
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn to_text(&self) -> String {
        let rounds = loop_rounds();
        self.loop_rounds
            .inc_by(rounds.saturating_sub(self.loop_rounds.get()));
        let spent = Duration::from_millis(processor_ms()).as_secs_f64();
        self.processor
            .inc_by((spent - self.processor.get()).max(0.0));
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }

    pub(crate) fn count_refusal(&self, part: &str, reason: RefusalReason) {
        self.refusals
            .with_label_values(&[part, reason.as_str()])
            .inc();
    }

    pub(crate) fn count_closure(&self, reason: CloseReason) {
        let labels = [reason.as_str()];
        self.client_closures.with_label_values(&labels).inc();
    }

    pub(crate) fn count_retry(&self) {
        self.retries.inc();
    }

    pub(crate) fn count_backend_failure(&self) {
        self.backend_failures.inc();
    }

    /// Sets the version in force, and the version of a newer text that was refused, if there is
    /// one.
    pub(crate) fn set_contract(&self, version: ConfigVersion, refused: Option<ConfigVersion>) {
        let number = |version: ConfigVersion| i64::try_from(version.get()).unwrap_or(i64::MAX);
        self.contract_version.set(number(version));
        self.refused_version.set(refused.map_or(0, number));
    }

    /// Sets the number of evacuated data centres.
    pub(crate) fn set_evacuated_centres(&self, count: usize) {
        self.evacuated_centres
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts an answered call, its refusal if it has one, and the time it took.
    pub(crate) fn observe_call(
        &self,
        part: &str,
        service: &ServiceName,
        started: ClockTime,
        now: ClockTime,
        answer: &AnswerHead,
    ) {
        let labels = [part, service.as_str(), answer.verdict.as_str()];
        self.calls.with_label_values(&labels).inc();
        if let Some(reason) = answer.refusal {
            self.count_refusal(part, reason);
        }
        let span_ms = u32::try_from(now.since_ms(started)).unwrap_or(u32::MAX);
        let latency = self.latency.with_label_values(&[part]);
        latency.observe(f64::from(span_ms) / MS_PER_SECOND);
    }

    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 21] = [
            Box::new(self.calls.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.latency.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.arrived.clone()),
            Box::new(self.sent.clone()),
            Box::new(self.backend_requests.clone()),
            Box::new(self.stated_rate.clone()),
            Box::new(self.warm_up_rate.clone()),
            Box::new(self.questions.clone()),
            Box::new(self.log_returns.clone()),
            Box::new(self.loop_rounds.clone()),
            Box::new(self.processor.clone()),
            Box::new(self.backend_failures.clone()),
            Box::new(self.contract_version.clone()),
            Box::new(self.refused_version.clone()),
            Box::new(self.evacuated_centres.clone()),
            Box::new(self.requests_ahead.clone()),
            Box::new(self.ahead_bytes.clone()),
            Box::new(self.client_bytes.clone()),
            Box::new(self.client_closures.clone()),
        ];
        for collector in collectors.into_iter().chain(self.load.collectors()) {
            self.registry
                .register(collector)
                .expect("each metric has a name of its own");
        }
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("the counter's name is valid")
}

pub(crate) fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the counter's name is valid")
}

pub(crate) fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the gauge's name is valid")
}

fn float_gauge(name: &str, help: &str) -> Gauge {
    Gauge::new(name, help).expect("the gauge's name is valid")
}

/// Returns the histogram of the times that calls take.
fn latency_histogram() -> HistogramVec {
    let opts = HistogramOpts::new(
        "lentilshift_call_seconds",
        "Time from a call's arrival to the head of its answer, in seconds.",
    );
    HistogramVec::new(opts.buckets(LATENCY_BUCKETS.to_vec()), &["part"])
        .expect("the histogram's name is valid")
}
