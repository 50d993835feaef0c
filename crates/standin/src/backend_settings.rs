use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// A call that a backend server makes for each request that it runs.
#[derive(Clone, Debug)]
pub struct BackendCall {
    /// The HTTP method.
    pub method: http::Method,
    /// The path with the service in front, such as `/registry/records/7`.
    pub path: Arc<str>,
}

/// The settings of a [`BackendServer`](crate::BackendServer).
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// The service name shown in answers.
    pub service: Arc<str>,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The run time of a request, in milliseconds.
    pub run_ms: u64,
    /// The egress address of the local node, for calls to other services.
    pub egress: Option<SocketAddr>,
    /// The calls made for each request, in sequence.
    pub calls: Vec<BackendCall>,
    /// Whether calls carry the `lentilshift-call-id` header of the request that they serve.
    pub passes_call_id: bool,
    /// Whether a request keeps running when its connection is closed, as on a server that runs each
    /// request on its own thread.
    pub continues_after_disconnect: bool,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            service: "backend".into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            run_ms: 0,
            egress: None,
            calls: Vec::new(),
            passes_call_id: true,
            continues_after_disconnect: false,
        }
    }
}
