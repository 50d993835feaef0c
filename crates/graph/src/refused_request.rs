use model::{ServiceName, ShedOrder, TeamName};

use crate::CallTarget;

/// A request whose caller is told when to come back.
#[derive(Clone, Copy, Debug)]
pub struct RefusedRequest<'r> {
    /// The service that has no room for it.
    pub service: &'r ServiceName,
    /// The call that entered.
    pub target: &'r CallTarget,
    /// The caller's team, if any.
    pub team: Option<&'r TeamName>,
    /// The place in the shedding order.
    pub order: ShedOrder,
}
