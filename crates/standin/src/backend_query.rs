use http::Uri;

/// The options that a request sets in its query string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BackendQuery {
    /// `ms=N`: the run time, in milliseconds.
    pub(crate) run_ms: Option<u64>,
    /// `bytes=N`: the size of the answer's body, in bytes.
    pub(crate) answer_bytes: Option<u64>,
    /// `status=N`: the status of the answer.
    pub(crate) status: Option<u16>,
    /// `crash=1`: the backend server crashes and drops all its running requests.
    pub(crate) is_crash: bool,
    /// `cut=1`, together with `bytes`: the answer fails after half of its body.
    pub(crate) is_cut: bool,
}

impl BackendQuery {
    pub(crate) fn parse(uri: &Uri) -> Self {
        let mut parsed = Self::default();
        for pair in uri.query().unwrap_or_default().split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match name {
                "ms" => parsed.run_ms = value.parse().ok(),
                "bytes" => parsed.answer_bytes = value.parse().ok(),
                "status" => parsed.status = value.parse().ok(),
                "crash" => parsed.is_crash = value == "1",
                "cut" => parsed.is_cut = value == "1",
                _ => {}
            }
        }
        parsed
    }
}
