use bytes::Bytes;
use model::VmName;
use wire::LinkError;

use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};

/// Sends a control message to another node and returns its reply, or `None` if that fails.
///
/// A message that wasn't sent because the link was closing is sent once more over a new link.
pub(crate) async fn exchange_message(
    core: &NodeCore,
    peer: &VmName,
    message: &NodeMessage,
) -> Option<NodeReply> {
    let bytes = Bytes::from(wire::encode(message).ok()?);
    let mut answer = exchange_once(core, peer, bytes.clone()).await;
    if matches!(answer, Err(LinkError::NotSent(_))) {
        answer = exchange_once(core, peer, bytes).await;
    }
    match answer {
        Ok(answer) => wire::decode(&answer).ok(),
        Err(error) => {
            log::debug!("event=peer-silent vm={peer} error={:?}", error.to_string());
            None
        }
    }
}

/// Sends a message once; after [`LinkError::NotSent`] it may be sent again over a new link.
async fn exchange_once(core: &NodeCore, peer: &VmName, message: Bytes) -> Result<Bytes, LinkError> {
    let link = core.links.get(&core.settings, peer).await?;
    link.exchange(message).await
}
