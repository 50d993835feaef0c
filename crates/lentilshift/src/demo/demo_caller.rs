use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HeaderName, HeaderValue};
use http::{Method, Request, Uri};
use http_body_util::Full;

use crate::demo::DemoError;
use crate::demo::caller_connection::{CallerAnswer, CallerConnection};

/// The header by which the record of a backend server identifies requests.
const TRACE: HeaderName = HeaderName::from_static("x-trace");
/// The header that identifies a call that must run at most once.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A caller with one open connection.
pub(crate) struct DemoCaller {
    connection: CallerConnection,
    key: Option<String>,
    idempotency_key: Option<String>,
}

impl DemoCaller {
    /// Connects to a node's port, without a key.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self, DemoError> {
        let connection = CallerConnection::open(address).await?;
        Ok(Self {
            connection,
            key: None,
            idempotency_key: None,
        })
    }

    /// Sets the API key that is sent with every request.
    #[must_use]
    pub(crate) fn with_key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the idempotency key that is sent with every request.
    #[must_use]
    pub(crate) fn with_idempotency_key(mut self, key: impl Into<String>) -> Self {
        self.idempotency_key = Some(key.into());
        self
    }

    /// Sends a request with an empty body.
    pub(crate) async fn send(
        &mut self,
        method: Method,
        path: &'static str,
    ) -> Result<CallerAnswer, DemoError> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = method;
        *request.uri_mut() = Uri::from_static(path);
        let bearer = self.key.as_ref().map(|key| format!("Bearer {key}"));
        insert_header(&mut request, AUTHORIZATION, bearer.as_deref());
        insert_header(
            &mut request,
            IDEMPOTENCY_KEY,
            self.idempotency_key.as_deref(),
        );
        insert_header(&mut request, TRACE, self.idempotency_key.as_deref());
        self.connection.send(request).await
    }

    /// Sends a GET.
    pub(crate) async fn get(&mut self, path: &'static str) -> Result<CallerAnswer, DemoError> {
        self.send(Method::GET, path).await
    }

    /// Sends a POST.
    pub(crate) async fn post(&mut self, path: &'static str) -> Result<CallerAnswer, DemoError> {
        self.send(Method::POST, path).await
    }
}

fn insert_header(request: &mut Request<Full<Bytes>>, name: HeaderName, value: Option<&str>) {
    let value = value.and_then(|value| HeaderValue::from_str(value).ok());
    if let Some(value) = value {
        request.headers_mut().insert(name, value);
    }
}
