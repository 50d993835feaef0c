use std::rc::Rc;

use bytes::Bytes;
use model::VmName;
use platform::{LogStream, RelayBatch, RelayPull};
use wire::{AnswerHead, CallHead, LinkBody, PeerHandler};

use crate::answer_body::AnswerBody;
use crate::call_body::CallBody;
use crate::config_watch::ConfigWatch;
use crate::fleet_watch::{FleetWatch, put_members};
use crate::ingress::run_call;
use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};

/// What a node does with the calls and messages of other nodes.
pub(crate) struct PeerPort(Rc<NodeCore>);

impl PeerPort {
    pub(crate) const fn new(core: Rc<NodeCore>) -> Self {
        Self(core)
    }
}

impl PeerPort {
    async fn answer(&self, message: NodeMessage) -> NodeReply {
        let core = &self.0;
        match message {
            NodeMessage::Pull(pull) => NodeReply::Batch(answer_pull(core, &pull).await),
            NodeMessage::Member(announcement) => {
                core.fleet
                    .with_state(|fleet| fleet.view.apply(&announcement));
                put_members(core, core.now());
                NodeReply::Nothing
            }
        }
    }
}

async fn answer_pull(core: &Rc<NodeCore>, pull: &RelayPull) -> Option<RelayBatch> {
    match pull.stream {
        LogStream::Config => {
            let watch = ConfigWatch(Rc::clone(core));
            Some(core.config.answer(pull, &watch).await)
        }
        LogStream::Members => {
            let watch = FleetWatch(Rc::clone(core));
            Some(core.fleet.answer(pull, &watch).await)
        }
        LogStream::Rates | LogStream::Claims => None,
    }
}

impl PeerHandler for PeerPort {
    type Body = AnswerBody;

    async fn call(
        &self,
        _from: &VmName,
        head: CallHead,
        body: LinkBody,
    ) -> (AnswerHead, AnswerBody) {
        let answer = run_call(&self.0, head, CallBody::Link(body)).await;
        (answer.head, answer.body)
    }

    async fn exchange(&self, from: &VmName, message: Bytes) -> Bytes {
        let reply = match wire::decode::<NodeMessage>(&message) {
            Ok(message) => self.answer(message).await,
            Err(error) => {
                log::warn!(
                    "event=message-unreadable vm={from} error={:?}",
                    error.to_string()
                );
                NodeReply::Nothing
            }
        };
        wire::encode(&reply).unwrap_or_default().into()
    }
}
