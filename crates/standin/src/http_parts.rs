use std::time::Duration;

use bytes::Bytes;
use compio::time::sleep;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;

/// A response with a complete body.
pub(crate) type TextResponse = Response<Full<Bytes>>;

/// Sleeps for `ms` milliseconds; returns without a sleep for 0.
pub(crate) async fn wait_ms(ms: u64) {
    if ms > 0 {
        sleep(Duration::from_millis(ms)).await;
    }
}

/// Reads a body to its end, or returns `None` if it is truncated.
pub(crate) async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = request.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

/// Returns the value of a query parameter as a number.
pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Builds a text response.
pub(crate) fn text(status: StatusCode, text: &str) -> TextResponse {
    let mut response = Response::new(Full::from(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Builds a JSON response.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> TextResponse {
    let body = serde_json::to_string(value).unwrap_or_default();
    text(status, &body)
}
