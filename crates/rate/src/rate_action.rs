use model::VmName;

use crate::{RateMessage, RateRecord};

/// An action that the caller must execute for the limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RateAction {
    /// Sends a message to another node.
    Send(VmName, RateMessage),
    /// Appends a record to the stream of rate records.
    Append(RateRecord),
}
