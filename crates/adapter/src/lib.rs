//! HTTP adapter for the platform's append-only log.
//!
//! [`HttpLog`] appends records with `POST /streams/{name}/records` and reads them with `GET
//! /streams/{name}/records?from=N&wait_ms=M`; the bodies are JSON. Only this crate depends on that
//! protocol; all other code uses [`streams::PlatformLog`].

mod http_client;
mod http_log;
mod log_message;

pub use http_client::{HttpClient, RawAnswer, SendError};
pub use http_log::{HttpLog, HttpSettings};
pub use log_message::{AppendRequest, GoneReply};
