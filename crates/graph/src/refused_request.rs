use model::{ServiceName, ShedOrder, TeamName};

use crate::CallTarget;

/// A refused request whose caller is given a retry delay.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest<'r> {
    /// The service that refused it.
    pub service: &'r ServiceName,
    /// The call that entered at the node.
    pub target: &'r CallTarget,
    /// The caller's team, if any.
    pub team: Option<&'r TeamName>,
    /// The position in the shedding order.
    pub order: ShedOrder,
}
