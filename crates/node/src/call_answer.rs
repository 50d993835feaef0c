use http::HeaderMap;
use http::header::{CONTENT_TYPE, HeaderValue};
use limit::LoadReport;
use model::{RefusalReason, RunVerdict, ServiceName};
use wire::{AnswerHead, CallHead, HeaderList};

use crate::answer_body::AnswerBody;
use crate::call_body::CallBody;
use crate::problem_body::problem_body;

/// A refusal of a call by a node, or a failure that a node reports in place of an answer.
#[derive(Clone, Debug)]
pub(crate) struct CallRefusal {
    pub(crate) reason: RefusalReason,
    pub(crate) verdict: RunVerdict,
    pub(crate) retry_after_ms: u64,
    pub(crate) service: Option<ServiceName>,
}

impl CallRefusal {
    /// Creates a refusal of a call that wasn't run.
    pub(crate) const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            verdict: RunVerdict::NotRun,
            retry_after_ms: 0,
            service: None,
        }
    }

    /// Creates a refusal of a call that may have run.
    pub(crate) const fn may_have_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            verdict: RunVerdict::MayHaveRun,
            retry_after_ms: 0,
            service: None,
        }
    }

    /// Sets the delay after which a retry may succeed, in milliseconds.
    #[must_use]
    pub(crate) const fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Sets the service that refused the call.
    #[must_use]
    pub(crate) fn with_service(mut self, service: &ServiceName) -> Self {
        self.service = Some(service.clone());
        self
    }
}

/// The answer to a call.
pub(crate) struct CallAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: AnswerBody,
}

impl CallAnswer {
    /// Creates the answer to a call that a node refuses or abandons.
    pub(crate) fn refused(call: &CallHead, refusal: &CallRefusal, allowance_left: u32) -> Self {
        let body = problem_body(call.request, refusal);
        let mut headers = HeaderMap::new();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        Self {
            head: AnswerHead {
                request: call.request,
                attempt: call.attempt,
                verdict: refusal.verdict,
                refusal: Some(refusal.reason),
                refused_by: refusal.service.clone(),
                retry_after_ms: u32::try_from(refusal.retry_after_ms).unwrap_or(u32::MAX),
                allowance_left,
                status: refusal.reason.status(),
                headers: HeaderList::from(&headers),
                body_bytes: Some(body.len() as u64),
                load: LoadReport::default(),
                threshold_reports: Vec::new(),
                run_ms: 0,
                mark: None,
                send_to: None,
                is_suspect: false,
                is_overload_failure: refusal.reason.is_overload(),
            },
            body: CallBody::Buffered(body).into(),
        }
    }
}
