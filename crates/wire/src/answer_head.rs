use std::fmt;

use graph::ShedReport;
use limit::LoadReport;
use model::{AttemptId, RefusalReason, RequestId, RunVerdict, ServiceName, VmName};
use once::TableMark;
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::HeaderList;

/// The number of fields of a [`AnswerHead`] on the wire.
const FIELDS: usize = 16;

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
    /// What the service, or one that it needs, sheds.
    pub report: Option<ShedReport>,
    /// The time for which the backend server ran the call, in milliseconds.
    pub run_ms: u32,
    /// The mark of the answering node's table of attempts.
    pub mark: Option<TableMark>,
    /// The VM that the call must be sent to, when it may not run on this one.
    pub send_to: Option<VmName>,
    /// Whether sending the call again might crash another backend server.
    pub is_suspect: bool,
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
        tuple.serialize_element(&self.report)?;
        tuple.serialize_element(&self.run_ms)?;
        tuple.serialize_element(&self.mark)?;
        tuple.serialize_element(&self.send_to)?;
        tuple.serialize_element(&self.is_suspect)?;
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

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Self::Value, A::Error> {
        Ok(AnswerHead {
            request: next_field(&mut fields, 0)?,
            attempt: next_field(&mut fields, 1)?,
            verdict: next_field(&mut fields, 2)?,
            refusal: next_field(&mut fields, 3)?,
            refused_by: next_field(&mut fields, 4)?,
            retry_after_ms: next_field(&mut fields, 5)?,
            allowance_left: next_field(&mut fields, 6)?,
            status: next_field(&mut fields, 7)?,
            headers: next_field(&mut fields, 8)?,
            body_bytes: next_field(&mut fields, 9)?,
            load: next_field(&mut fields, 10)?,
            report: next_field(&mut fields, 11)?,
            run_ms: next_field(&mut fields, 12)?,
            mark: next_field(&mut fields, 13)?,
            send_to: next_field(&mut fields, 14)?,
            is_suspect: next_field(&mut fields, 15)?,
        })
    }
}

fn next_field<'de, A, T>(fields: &mut A, index: usize) -> Result<T, A::Error>
where
    A: SeqAccess<'de>,
    T: Deserialize<'de>,
{
    let field = fields.next_element()?;
    field.ok_or_else(|| de::Error::invalid_length(index, &HeadVisitor))
}
