use crate::unique_id::unique_id;

unique_id!(
    /// The identifier of a caller's request, passed on unchanged to every service of its chain.
    RequestId
);
