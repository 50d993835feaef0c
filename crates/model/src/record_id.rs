use crate::unique_id::unique_id;

unique_id!(
    /// The identifier of a record of the platform's log.
    ///
    /// A record that is appended again keeps its identifier.
    RecordId
);
