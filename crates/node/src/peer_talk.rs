use model::VmName;

use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};

/// Sends a control message to another node and returns its answer, if one came.
pub(crate) async fn ask_peer(
    core: &NodeCore,
    peer: &VmName,
    message: &NodeMessage,
) -> Option<NodeReply> {
    let bytes = wire::encode(message).ok()?;
    let link = core.links.get(&core.settings, peer).await;
    let answer = match link {
        Ok(link) => link.exchange(bytes.into()).await,
        Err(error) => Err(error),
    };
    match answer {
        Ok(answer) => wire::decode(&answer).ok(),
        Err(error) => {
            log::debug!("event=peer-silent vm={peer} error={:?}", error.to_string());
            None
        }
    }
}
