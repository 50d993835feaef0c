use std::rc::Rc;

use bytes::Bytes;
use model::VmName;
use streams::{ClaimShard, LogStream, RelayBatch, RelayPull};
use wire::{AnswerHead, CallHead, LinkBody, PeerHandler};

use crate::announcement_appender::append_in_batch;
use crate::answer_body::AnswerBody;
use crate::call_body::CallBody;
use crate::claim_watch::answer_holder_query;
use crate::ingress::run_call;
use crate::node_core::NodeCore;
use crate::node_message::{NodeMessage, NodeReply};
use crate::rate_watch::receive_rate_message;
use crate::suspect_watch::{receive_ack, receive_list, receive_updates};

/// Handles the calls and control messages of other nodes.
pub(crate) struct PeerPort(Rc<NodeCore>);

impl PeerPort {
    pub(crate) const fn new(core: Rc<NodeCore>) -> Self {
        Self(core)
    }
}

impl PeerPort {
    async fn answer(&self, from: &VmName, message: NodeMessage) -> NodeReply {
        let core = &self.0;
        match message {
            NodeMessage::Pull(pull) => return NodeReply::Batch(answer_pull(core, &pull).await),
            NodeMessage::Member(announcement) => {
                core.fleet
                    .with(|feed| feed.fold().apply_announcement(&announcement));
            }
            NodeMessage::Append(announcement, is_change) => {
                return NodeReply::Appended(append_in_batch(core, announcement, is_change).await);
            }
            NodeMessage::Rate(message) => receive_rate_message(core, from, message),
            NodeMessage::QueryMark => {
                let mark = core.attempts.borrow().mark(core.now());
                return NodeReply::Mark(mark);
            }
            NodeMessage::QueryAttempt(attempt, mark) => {
                let now = core.now();
                let state = core.attempts.borrow_mut().query(now, attempt, mark);
                return NodeReply::Attempt(state);
            }
            NodeMessage::QueryHolder(owner) => {
                return NodeReply::Holder(answer_holder_query(core, owner));
            }
            NodeMessage::Suspect(id, updates) => receive_updates(core, from, id, &updates),
            NodeMessage::SuspectList(updates) => receive_list(core, &updates),
            NodeMessage::SuspectAck(id, updates) => receive_ack(core, from, id, &updates),
        }
        NodeReply::Nothing
    }
}

async fn answer_pull(core: &NodeCore, pull: &RelayPull) -> Option<RelayBatch> {
    match pull.stream {
        LogStream::Config => Some(core.config.answer(pull).await),
        LogStream::Members => Some(core.fleet.answer(pull).await),
        LogStream::Rates => Some(core.rates.answer(pull).await),
        LogStream::Claims(shard) if shard == ClaimShard::of(&core.settings.service) => {
            Some(core.claims.answer(pull).await)
        }
        LogStream::Claims(_) => None,
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
            Ok(message) => self.answer(from, message).await,
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
