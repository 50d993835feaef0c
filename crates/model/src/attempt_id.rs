use crate::unique_id::unique_id;

unique_id!(
    /// The identifier of one attempt to run a call on a backend server.
    AttemptId
);
