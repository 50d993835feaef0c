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

/// The number of encoded fields of a [`AnswerHead`].
const FIELD_COUNT: usize = 17;

/// The metadata of an answer, sent to the calling node ahead of the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that the call belongs to.
    pub request: RequestId,
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// Whether the call ran, may have run or didn't run.
    pub verdict: RunVerdict,
    /// The reason of a refusal, when a node answers instead of the backend server.
    pub refusal: Option<RefusalReason>,
    /// The service that refused the call, when it is a dependency further down the chain.
    pub refused_by: Option<ServiceName>,
    /// The delay after which a retry may succeed, in milliseconds; 0 when no delay is suggested.
    pub retry_after_ms: u32,
    /// The unspent retries of the allowance that the call was given.
    pub allowance_left: u32,
    /// The HTTP status.
    pub status: u16,
    /// The HTTP headers.
    pub headers: HeaderList,
    /// The length of the body in bytes, when it is known.
    pub body_bytes: Option<u64>,
    /// The load of the backend server.
    pub load: LoadReport,
    /// The shed thresholds of the VMs of called services, for those VMs that shed load.
    pub threshold_reports: Vec<ThresholdReport>,
    /// The time for which the backend server ran the call, in milliseconds.
    pub run_ms: u32,
    /// The current mark of the answering node's attempt table.
    pub mark: Option<TableMark>,
    /// The VM that the call has to be sent to, when it isn't allowed to run on this one.
    pub send_to: Option<VmName>,
    /// Whether the call is suspected of crashing backend servers, so that a retry might crash another.
    pub is_suspect: bool,
    /// Whether the call failed because it, or a call that it made, was refused under overload or for
    /// lack of time.
    pub is_overload_failure: bool,
}

impl Serialize for AnswerHead {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELD_COUNT)?;
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
        tuple.serialize_element(&self.threshold_reports)?;
        tuple.serialize_element(&self.run_ms)?;
        tuple.serialize_element(&self.mark)?;
        tuple.serialize_element(&self.send_to)?;
        tuple.serialize_element(&self.is_suspect)?;
        tuple.serialize_element(&self.is_overload_failure)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for AnswerHead {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELD_COUNT, HeadVisitor)
    }
}

struct HeadVisitor;

impl<'de> Visitor<'de> for HeadVisitor {
    type Value = AnswerHead;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a head of {FIELD_COUNT} fields")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, fields: A) -> Result<Self::Value, A::Error> {
        let mut fields = FieldReader::new(fields, FIELD_COUNT);
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
            threshold_reports: fields.next()?,
            run_ms: fields.next()?,
            mark: fields.next()?,
            send_to: fields.next()?,
            is_suspect: fields.next()?,
            is_overload_failure: fields.next()?,
        })
    }
}
