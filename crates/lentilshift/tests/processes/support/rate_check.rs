use std::time::Instant;

use super::CallerTold;

/// The rate and burst that a test's team has.
#[derive(Clone, Copy, Debug)]
pub struct RateBound {
    pub rate_per_s: f64,
    pub burst: f64,
}

/// The span in which a request was admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmitSpan {
    pub sent: Instant,
    pub told: Instant,
}

impl From<&CallerTold> for AdmitSpan {
    fn from(told: &CallerTold) -> Self {
        Self {
            sent: told.sent,
            told: told.told,
        }
    }
}

impl RateBound {
    /// Returns the most by which admissions exceed one exact bucket, over all windows.
    ///
    /// A window counts only what was surely admitted in it, and may hold one millisecond's worth
    /// of the rate more, as clocks are read in whole milliseconds.
    pub fn excess(self, spans: &[AdmitSpan]) -> f64 {
        let mut spans = spans.to_vec();
        spans.sort_by_key(|span| span.told);
        let mut excess = f64::NEG_INFINITY;
        for start in spans.iter().map(|span| span.sent) {
            let mut count = 0.0;
            for span in spans.iter().filter(|span| span.sent >= start) {
                count += 1.0;
                let seconds = (span.told - start).as_secs_f64() + 0.001;
                excess = excess.max(count - self.rate_per_s * seconds - self.burst);
            }
        }
        excess
    }

    /// Returns what a bucket of the whole rate at each node would admit of one node's requests.
    pub fn admit_naively(self, sent: &[Instant]) -> Vec<AdmitSpan> {
        let mut tokens = self.burst;
        let mut last: Option<Instant> = None;
        let mut spans = Vec::new();
        for &sent in sent {
            let passed = last.map_or(0.0, |last| (sent - last).as_secs_f64());
            tokens = self.burst.min(tokens + passed * self.rate_per_s);
            last = Some(sent);
            if tokens >= 1.0 {
                tokens -= 1.0;
                spans.push(AdmitSpan { sent, told: sent });
            }
        }
        spans
    }
}
