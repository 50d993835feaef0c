use crate::unique_id::unique_id;

unique_id!(
    /// The identifier of one record on the platform's log, the same when it is appended again.
    RecordId
);
