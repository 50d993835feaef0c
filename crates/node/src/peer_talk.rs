use bytes::Bytes;
use model::VmName;
use wire::LinkError;

use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};

/// Sends a control message to another node and returns its answer, if one came.
pub(crate) async fn ask_peer(
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

/// Sends a message once; one that a closing link didn't take may be sent again over a new one.
async fn exchange_once(core: &NodeCore, peer: &VmName, message: Bytes) -> Result<Bytes, LinkError> {
    let link = core.links.get(&core.settings, peer).await?;
    link.exchange(message).await
}
