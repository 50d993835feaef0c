use model::{CallName, ServiceName};

use crate::CallContract;

/// The call of the contract that a request matches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallMatch<'c> {
    /// The called service.
    pub service: &'c ServiceName,
    /// The name of the call.
    pub call: &'c CallName,
    /// The terms of the call.
    pub contract: &'c CallContract,
}
