use std::fmt;

use graph::ThresholdReport;
use limit::LoadReport;
use model::{AttemptId, RefusalReason, RequestId, RunVerdict, ServiceName, VmName};
use once::TableMark;
use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::HeaderList;
use crate::field_reader::FieldReader;

/// The number of fields of a [`AnswerHead`] on the wire.
const FIELDS: usize = 17;

/// What a node tells the one that called, ahead of the answer's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that this answers.
    pub request: RequestId,
    /// The attempt that this answers.
    pub attempt: AttemptId,
    /// Whether the call may have run.
    pub verdict: RunVerdict,
    /// The reason, when a node answers in place of the backend server.
    pub refusal: Option<RefusalReason>,
    /// The service that refused, when it is one further down the chain.
    pub refused_by: Option<ServiceName>,
    /// The time after which asking again makes sense, in milliseconds; 0 when it doesn't matter.
    pub retry_after_ms: u32,
    /// The retries of the call's share that weren't spent.
    pub allowance_left: u32,
    /// The HTTP status.
    pub status: u16,
    /// The HTTP headers.
    pub headers: HeaderList,
    /// The length of the body in bytes, when it is known.
    pub body_bytes: Option<u64>,
    /// The load of the backend server.
    pub load: LoadReport,
    /// What each VM of the services below refuses, of those that shed.
    pub cut_reports: Vec<ThresholdReport>,
    /// The time for which the backend server ran the call, in milliseconds.
    pub run_ms: u32,
    /// The mark of the answering node's table of attempts.
    pub mark: Option<TableMark>,
    /// The VM that the call must be sent to, when it may not run on this one.
    pub send_to: Option<VmName>,
    /// Whether sending the call again might crash another backend server.
    pub is_suspect: bool,
    /// Whether the call failed as it, or one that it needed, was refused for want of room or time.
    pub is_lost_to_load: bool,
}

impl Serialize for AnswerHead {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&self.request)?;
        tuple.serialize_element(&self.attempt)?;
        tuple.serialize_element(&self.verdict)?;
        tuple.serialize_element(&self.refusal)?;
        tuple.serialize_element(&self.refused_by)?;
        tuple.serialize_element(&self.retry_after_ms)?;
        tuple.serialize_element(&self.allowance_left)?;
        tuple.serialize_element(&self.status)?;
        tuple.serialize_element(&self.headers)?;
        tuple.serialize_element(&self.body_bytes)?;
        tuple.serialize_element(&self.load)?;
        tuple.serialize_element(&self.cut_reports)?;
        tuple.serialize_element(&self.run_ms)?;
        tuple.serialize_element(&self.mark)?;
        tuple.serialize_element(&self.send_to)?;
        tuple.serialize_element(&self.is_suspect)?;
        tuple.serialize_element(&self.is_lost_to_load)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for AnswerHead {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, HeadVisitor)
    }
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = AnswerHead;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a head of {FIELDS} fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, fields: A) -> Result<Self::Value, A::Error> {
        let mut fields = FieldReader::new(fields, FIELDS);
        Ok(AnswerHead {
            request: fields.next()?,
            attempt: fields.next()?,
            verdict: fields.next()?,
            refusal: fields.next()?,
            refused_by: fields.next()?,
            retry_after_ms: fields.next()?,
            allowance_left: fields.next()?,
            status: fields.next()?,
            headers: fields.next()?,
            body_bytes: fields.next()?,
            load: fields.next()?,
            cut_reports: fields.next()?,
            run_ms: fields.next()?,
            mark: fields.next()?,
            send_to: fields.next()?,
            is_suspect: fields.next()?,
            is_lost_to_load: fields.next()?,
        })
    }
}
