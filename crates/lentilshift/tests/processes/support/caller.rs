use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compio::time::{sleep, timeout};

/// The largest number of retries of a request that is refused for lack of tokens.
const MAX_RETRIES: usize = 500;
/// The delay before each of these retries.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// The time after its deadline within which a request has to be answered.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// A request of a caller in a test.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    pub method: &'static str,
    pub path: String,
    pub key: &'static str,
    /// The trace id by which the record of a backend server identifies this request.
    pub trace: String,
    pub idempotency_key: Option<String>,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

impl CallerRequest {
    pub fn get(path: &str, key: &'static str, trace: String) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            key,
            trace,
            idempotency_key: None,
            deadline_ms: 3_000,
            body: Vec::new(),
        }
    }

    /// Creates a call that must run at most once.
    pub fn once(path: &str, key: &str, trace: String, deadline_ms: u64) -> Self {
        Self {
            method: "POST",
            idempotency_key: Some(key.to_owned()),
            deadline_ms,
            body: b"amount=7".to_vec(),
            ..Self::get(path, super::KEY, trace)
        }
    }

    /// Sends the request over a new connection; returns `None` when the answer is incomplete or isn't
    /// received soon after the deadline.
    pub async fn send(&self, address: SocketAddr) -> Option<CallerResponse> {
        let client = cyper::Client::new().unwrap();
        self.send_with(&client, address).await
    }

    /// Sends the request, and retries it under a new trace id while it is refused for lack of tokens.
    pub async fn send_admitted(&mut self, address: SocketAddr) -> Option<CallerResponse> {
        let trace = self.trace.clone();
        for number in 0..MAX_RETRIES {
            let response = self.send(address).await?;
            if response.status != 429 {
                return Some(response);
            }
            self.trace = format!("{trace}-again-{number}");
            sleep(RETRY_DELAY).await;
        }
        panic!("the node received no tokens in time");
    }

    /// Sends the request with a client that reuses its connections.
    pub async fn send_with(
        &self,
        client: &cyper::Client,
        address: SocketAddr,
    ) -> Option<CallerResponse> {
        let url = format!("http://{address}{}", self.path);
        let request = client.request(self.method.parse().unwrap(), url).unwrap();
        let deadline = self.deadline_ms.to_string();
        let mut headers = vec![("x-api-key", self.key), ("x-trace", &self.trace)];
        headers.push(("lentilshift-deadline-ms", &deadline));
        if let Some(key) = &self.idempotency_key {
            headers.push(("idempotency-key", key));
        }
        let request = headers.into_iter().fold(request, |request, (name, value)| {
            request.header(name, value).unwrap()
        });
        let sent_at = Instant::now();
        let sending = async {
            let answer = request.body(self.body.clone()).send().await.ok()?;
            let status = answer.status().as_u16();
            let verdict = answer.headers().get("lentilshift-verdict")?;
            let verdict = verdict.to_str().ok()?.to_owned();
            let text = answer.text().await.ok()?;
            let answered_at = Instant::now();
            Some(CallerResponse {
                status,
                verdict,
                text,
                sent_at,
                answered_at,
            })
        };
        let limit = Duration::from_millis(self.deadline_ms) + ANSWER_GRACE;
        timeout(limit, sending).await.ok()?
    }
}

/// The response to a request, and the times at which the request was sent and answered.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub verdict: String,
    pub text: String,
    pub sent_at: Instant,
    pub answered_at: Instant,
}

impl CallerResponse {
    pub fn is_ok(&self) -> bool {
        self.status == 200
    }

    pub fn is_not_run(&self) -> bool {
        self.verdict == "not-run"
    }

    /// Returns the reason of a refusal, or the status.
    pub fn reason(&self) -> String {
        let problem: Option<serde_json::Value> = serde_json::from_str(&self.text).ok();
        let title = problem.and_then(|problem| Some(problem.get("title")?.as_str()?.to_owned()));
        title.unwrap_or_else(|| self.status.to_string())
    }
}
