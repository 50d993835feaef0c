use crate::unique_id::unique_id;

unique_id!(
    /// The identifier of a caller's whole request, the same at every hop.
    RequestId
);
