use http::HeaderName;

/// The HTTP interface between a node and its callers and backend server.
///
/// The default is the interface that this project defines. The header names of a platform with a
/// different interface are set here and nowhere else.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// The header that carries a caller's key.
    pub key_header: HeaderName,
    /// The header with the time left in milliseconds, in requests of callers and in those to the
    /// backend server.
    pub deadline_header: HeaderName,
    /// The header with the id that the caller gave its request, which the backend server repeats
    /// in its answer.
    pub request_id_header: Option<HeaderName>,
    /// The header that names to the backend server the team that the request is charged to.
    pub team_header: Option<HeaderName>,
    /// The header that names to the backend server the service of the node where the call started.
    pub origin_header: Option<HeaderName>,
    /// The header that names the only backend server that may run the request.
    pub backend_header: Option<HeaderName>,
    /// The header by which the backend server reports that it hasn't run a request.
    pub not_run_header: Option<HeaderName>,
    /// The header that every successful answer of the backend server must have.
    pub signature_header: Option<HeaderName>,
    /// The header in which the backend server states the requests per second that it accepts from
    /// the whole fleet.
    pub rate_header: Option<HeaderName>,
    /// The header by which the backend server says that it is leaving.
    pub leaving_header: Option<HeaderName>,
    /// The header in which the backend server states how many milliseconds longer it is cold.
    pub warm_up_header: Option<HeaderName>,
    /// The header of a health answer that names the backend server.
    pub health_backend_header: Option<HeaderName>,
    /// The header in which the backend server states its load.
    pub load_header: Option<HeaderName>,
    /// Whether the headers that this project defines are sent to callers and to the backend server.
    pub sends_project_headers: bool,
    /// Whether a key is also accepted in `Authorization` and refused in a path, instead of being
    /// read from the key header alone.
    pub checks_all_key_locations: bool,
    /// Whether the status of a refusal has to show whether the request has run.
    pub has_verdict_status: bool,
}

impl Default for EdgeSettings {
    fn default() -> Self {
        Self {
            key_header: HeaderName::from_static("x-api-key"),
            deadline_header: HeaderName::from_static("lentilshift-deadline-ms"),
            request_id_header: None,
            team_header: None,
            origin_header: None,
            backend_header: None,
            not_run_header: None,
            signature_header: None,
            rate_header: None,
            leaving_header: None,
            warm_up_header: Some(HeaderName::from_static("lentilshift-cold-ms")),
            health_backend_header: None,
            load_header: None,
            sends_project_headers: true,
            checks_all_key_locations: true,
            has_verdict_status: false,
        }
    }
}

impl EdgeSettings {
    /// Returns the headers that are removed from requests of callers, as only a node may set or
    /// read them.
    pub(crate) fn node_headers(&self) -> impl Iterator<Item = &HeaderName> {
        let optional = [&self.team_header, &self.origin_header, &self.backend_header];
        let optional = optional.into_iter().flatten();
        optional.chain([&self.deadline_header, &self.key_header])
    }
}
