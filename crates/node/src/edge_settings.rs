use http::HeaderName;

/// How a node speaks with callers and with its backend server.
///
/// The default is the project's own interface. A platform with an interface of its own names its
/// headers here, so that nothing else needs to know them.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// The header that carries a caller's key.
    pub key_header: HeaderName,
    /// The header that gives the time left in milliseconds, from callers and to the backend
    /// server.
    pub deadline_header: HeaderName,
    /// The header with the caller's own name of its request, which the backend server repeats in
    /// its answer.
    pub request_header: Option<HeaderName>,
    /// The header that tells the backend server which team pays.
    pub team_header: Option<HeaderName>,
    /// The header that tells the backend server beside which service the request began.
    pub origin_header: Option<HeaderName>,
    /// The header that names the backend server which alone may run the request.
    pub backend_header: Option<HeaderName>,
    /// The header by which the backend server says that it hasn't run a request.
    pub not_run_header: Option<HeaderName>,
    /// The header that each successful answer of the backend server carries.
    pub signature_header: Option<HeaderName>,
    /// Whether the project's own headers go to callers and to the backend server.
    pub has_own_headers: bool,
    /// Whether keys are also looked for in `Authorization`, paths and queries.
    pub finds_stray_keys: bool,
    /// Whether the status of a refusal tells for sure whether the request has run.
    pub has_verdict_status: bool,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        Self {
            key_header: HeaderName::from_static("x-api-key"),
            deadline_header: HeaderName::from_static("lentilshift-deadline-ms"),
            request_header: None,
            team_header: None,
            origin_header: None,
            backend_header: None,
            not_run_header: None,
            signature_header: None,
            has_own_headers: true,
            finds_stray_keys: true,
            has_verdict_status: false,
        }
    }
}

impl EdgeSettings {
    /// Returns the headers that a node alone sets towards the backend server.
    pub(crate) fn set_headers(&self) -> impl Iterator<Item = &HeaderName> {
        let optional = [&self.team_header, &self.origin_header, &self.backend_header];
        let optional = optional.into_iter().flatten();
        optional.chain([&self.deadline_header, &self.key_header])
    }
}
