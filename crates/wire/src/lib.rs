//! Messages and links between nodes.
//!
//! A link is one HTTP/2 connection. Each call is a stream that carries a head encoded with
//! `bincode`, then the raw bytes of the body, with flow control in both directions. [`PeerLink`] is
//! the client end, [`PeerServer`] the server end. Both ends authenticate with the [`FleetSecret`]
//! before any call or control message is accepted.

mod answer_head;
mod body_sender;
mod buffered_stream;
mod call_head;
mod codec;
mod field_reader;
mod fleet_secret;
mod head_reader;
mod header_list;
mod hello_message;
mod link_activity;
mod link_body;
mod link_error;
mod link_settings;
mod peer_authenticator;
mod peer_link;
mod peer_server;

pub use answer_head::AnswerHead;
pub use buffered_stream::BufferedStream;
pub use call_head::CallHead;
pub use codec::{CodecError, decode, encode};
pub use fleet_secret::{FleetSecret, SecretError};
pub use header_list::HeaderList;
pub use link_body::{BodyError, LinkBody};
pub use link_error::LinkError;
pub use link_settings::LinkSettings;
pub use peer_link::PeerLink;
pub use peer_server::{LinkPeer, PeerHandler, PeerServer};

/// The version of the protocol between nodes; nodes of different versions refuse to connect.
pub const WIRE_VERSION: u16 = 1;
