use model::{CallName, ServiceName};

use crate::CallContract;

/// The call of the contract that a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallMatch<'c> {
    /// The service that is called.
    pub service: &'c ServiceName,
    /// The kind of call.
    pub call: &'c CallName,
    /// What the contract says about the call.
    pub contract: &'c CallContract,
}
