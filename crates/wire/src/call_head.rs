use std::fmt;

use model::{
    AttemptId, CallImportance, CallName, LoadNews, RequestId, ServiceName, ShedClass, ShedOrder,
    TeamName,
};
use once::TableMark;
use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::HeaderList;
use crate::field_reader::FieldReader;

/// The number of encoded fields of a [`CallHead`].
const FIELD_COUNT: usize = 21;

/// The metadata of a call, sent to the next node ahead of the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's request at the entry, of which this call is a part.
    pub request: RequestId,
    /// This attempt at the call.
    pub attempt: AttemptId,
    /// The service called.
    pub service: ServiceName,
    /// The call of the service, as named in the contract.
    pub call: CallName,
    /// The team whose rate the request is charged to; `None` when the route is open to all or a service
    /// calls on its own behalf.
    pub team: Option<TeamName>,
    /// The weight of the team's share when load is shed.
    pub team_weight: u32,
    /// The importance of the request: that of its team, or else that of the call at the entry.
    pub importance: CallImportance,
    /// The importance of the call at the entry, which ranks requests of equal `importance`.
    pub call_importance: CallImportance,
    /// The latest known mark of the receiving node's attempt table, for senders that query the outcome
    /// of an attempt.
    pub mark: Option<TableMark>,
    /// The number of calls in the chain above this one.
    pub depth: u8,
    /// The time left until the deadline, in milliseconds.
    pub deadline_left_ms: u32,
    /// The retries that may be spent on this call and below it.
    pub allowance: u32,
    /// Whether the call must run at most once.
    pub once: bool,
    /// Whether the call is idempotent and may safely run again.
    pub idempotent: bool,
    /// The HTTP method.
    pub method: String,
    /// The path and query that the backend server sees.
    pub path: String,
    /// The HTTP headers that the backend server sees.
    pub headers: HeaderList,
    /// The length of the body in bytes, when it is known.
    pub body_bytes: Option<u64>,
    /// Whether the receiving node may refuse the call as moved instead of queueing it, since the
    /// sender knows of another VM with room.
    pub may_move: bool,
    /// The figures of other VMs that the answer should carry.
    pub news_count: u8,
    /// Figures of other VMs of the service.
    pub news: Vec<LoadNews>,
}

impl CallHead {
    /// Returns the position of the request in the shedding order.
    #[must_use]
    pub fn shed_order(&self) -> ShedOrder {
        let class = ShedClass::new(self.importance, self.call_importance);
        ShedOrder::new(class, self.request)
    }
}

impl Serialize for CallHead {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
        tuple.serialize_element(&self.request)?;
        tuple.serialize_element(&self.attempt)?;
        tuple.serialize_element(&self.service)?;
        tuple.serialize_element(&self.call)?;
        tuple.serialize_element(&self.team)?;
        tuple.serialize_element(&self.team_weight)?;
        tuple.serialize_element(&self.importance)?;
        tuple.serialize_element(&self.call_importance)?;
        tuple.serialize_element(&self.mark)?;
        tuple.serialize_element(&self.depth)?;
        tuple.serialize_element(&self.deadline_left_ms)?;
        tuple.serialize_element(&self.allowance)?;
        tuple.serialize_element(&self.once)?;
        tuple.serialize_element(&self.idempotent)?;
        tuple.serialize_element(&self.method)?;
        tuple.serialize_element(&self.path)?;
        tuple.serialize_element(&self.headers)?;
        tuple.serialize_element(&self.body_bytes)?;
        tuple.serialize_element(&self.may_move)?;
        tuple.serialize_element(&self.news_count)?;
        tuple.serialize_element(&self.news)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for CallHead {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, HeadVisitor)
    }
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = CallHead;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a head of {FIELD_COUNT} fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, fields: A) -> Result<Self::Value, A::Error> {
        let mut fields = FieldReader::new(fields, FIELD_COUNT);
        Ok(CallHead {
            request: fields.next()?,
            attempt: fields.next()?,
            service: fields.next()?,
            call: fields.next()?,
            team: fields.next()?,
            team_weight: fields.next()?,
            importance: fields.next()?,
            call_importance: fields.next()?,
            mark: fields.next()?,
            depth: fields.next()?,
            deadline_left_ms: fields.next()?,
            allowance: fields.next()?,
            once: fields.next()?,
            idempotent: fields.next()?,
            method: fields.next()?,
            path: fields.next()?,
            headers: fields.next()?,
            body_bytes: fields.next()?,
            may_move: fields.next()?,
            news_count: fields.next()?,
            news: fields.next()?,
        })
    }
}
