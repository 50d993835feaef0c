use crate::unique_id::unique_id;

unique_id!(
    /// The identifier of a record of the platform's log.
    ///
    /// A retried append keeps the identifier, so that readers can discard duplicates.
    RecordId
);
