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

/// Settings of a stand-in for a backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// The name shown in answers.
    pub service: Arc<str>,
    /// The address to listen on.
    pub address: SocketAddr,
    /// The time that a request runs, in milliseconds.
    pub run_ms: u64,
    /// The address of the local node for calls to other services.
    pub egress: Option<SocketAddr>,
    /// The calls made for each request, one after the other.
    pub calls: Vec<BackendCall>,
    /// Whether the header that ties calls to the request is passed on.
    pub passes_call_id: bool,
    /// Whether a request goes on when its connection is closed, as on a thread of its own.
    pub goes_on: bool,
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
            goes_on: false,
        }
    }
}
