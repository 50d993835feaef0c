use std::time::Instant;

use super::CallerResponse;

/// The rate and burst of a team in a test.
#[derive(Clone, Copy, Debug)]
pub struct RateBound {
    pub rate_per_s: f64,
    pub burst: f64,
}

/// The time span within which a request was admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmitSpan {
    pub sent_at: Instant,
    pub answered_at: Instant,
}

impl From<&CallerResponse> for AdmitSpan {
    fn from(response: &CallerResponse) -> Self {
        Self {
            sent_at: response.sent_at,
            answered_at: response.answered_at,
        }
    }
}

impl RateBound {
    /// Returns the largest excess of admissions over a single exact token bucket in any time window.
    ///
    /// A window counts only the requests that were certainly admitted within it. It is allowed the
    /// tokens of one more millisecond, because nodes read clocks in whole milliseconds.
    pub fn excess(self, spans: &[AdmitSpan]) -> f64 {
        let mut spans = spans.to_vec();
        spans.sort_by_key(|span| span.answered_at);
        let mut excess = f64::NEG_INFINITY;
        for start in spans.iter().map(|span| span.sent_at) {
            let mut count = 0.0;
            for span in spans.iter().filter(|span| span.sent_at >= start) {
                count += 1.0;
                let seconds = (span.answered_at - start).as_secs_f64() + 0.001;
                excess = excess.max(count - self.rate_per_s * seconds - self.burst);
            }
        }
        excess
    }

    /// Returns the requests of one node that a token bucket of the full rate at each node would admit.
    pub fn admit_per_node(self, sent: &[Instant]) -> Vec<AdmitSpan> {
        let mut tokens = self.burst;
        let mut last: Option<Instant> = None;
        let mut spans = Vec::new();
        for &sent_at in sent {
            let elapsed_s = last.map_or(0.0, |last| (sent_at - last).as_secs_f64());
            tokens = self.burst.min(tokens + elapsed_s * self.rate_per_s);
            last = Some(sent_at);
            if tokens >= 1.0 {
                tokens -= 1.0;
                spans.push(AdmitSpan {
                    sent_at,
                    answered_at: sent_at,
                });
            }
        }
        spans
    }
}
