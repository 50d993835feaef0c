use prometheus::core::Collector;
use prometheus::{IntCounter, IntGauge};

use crate::node_metrics::{counter, gauge};

/// The metrics of the load of the local backend server, and of what is known of that of others.
pub(crate) struct LoadMetrics {
    /// The calls that another VM refused as moved and that this node has sent on.
    pub(crate) moved: IntCounter,
    pub(crate) news_age_ms: IntGauge,
    pub(crate) slowness: IntGauge,
    pub(crate) running: IntGauge,
    pub(crate) queued: IntGauge,
    pub(crate) limit: IntGauge,
}

impl LoadMetrics {
    pub(crate) fn new() -> Self {
        Self {
            moved: counter(
                "lentilshift_moved_calls_total",
                "Calls sent on to another VM because the first one had no room.",
            ),
            news_age_ms: gauge(
                "lentilshift_load_news_age_milliseconds",
                "Mean age of the load figures of other VMs that are in use; 0 without any.",
            ),
            slowness: gauge(
                "lentilshift_host_slowness_percent",
                "How long work takes on the backend server's host, 100 as usual; 0 if not stated.",
            ),
            running: gauge(
                "lentilshift_running_calls",
                "Calls that the backend server runs now.",
            ),
            queued: gauge(
                "lentilshift_queued_calls",
                "Calls that wait for the backend server.",
            ),
            limit: gauge(
                "lentilshift_concurrency_limit_calls",
                "Calls that the backend server may run at once.",
            ),
        }
    }

    /// Returns the metrics for their registration.
    pub(crate) fn collectors(&self) -> [Box<dyn Collector>; 6] {
        [
            Box::new(self.moved.clone()),
            Box::new(self.news_age_ms.clone()),
            Box::new(self.slowness.clone()),
            Box::new(self.running.clone()),
            Box::new(self.queued.clone()),
            Box::new(self.limit.clone()),
        ]
    }
}
