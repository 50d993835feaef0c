use std::rc::Rc;

use bytes::Bytes;
use model::VmName;
use wire::{AnswerHead, CallHead, LinkBody, PeerHandler};

use crate::answer_body::AnswerBody;
use crate::call_body::CallBody;
use crate::ingress::run_call;
use crate::node_core::NodeCore;

/// What a node does with the calls and messages of other nodes.
pub(crate) struct PeerPort(Rc<NodeCore>);

impl PeerPort {
    pub(crate) const fn new(core: Rc<NodeCore>) -> Self {
        Self(core)
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
        log::debug!("event=unknown-message vm={from} bytes={}", message.len());
        Bytes::new()
    }
}
