use crate::unique_id::unique_id;

unique_id!(
    /// The identifier of one attempt to run one call on one backend server.
    AttemptId
);
