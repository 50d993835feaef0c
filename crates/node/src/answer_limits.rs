/// The bounds on what a backend server may send in an answer.
///
/// A backend server that exceeds one loses its connection. The request may have run: before the head
/// of its answer is complete, its caller is answered 502; after that, the answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// The maximum size of the head, and that of the trailers, in bytes; at least
    /// [`MIN_HEAD_BYTES`](Self::MIN_HEAD_BYTES).
    pub head_bytes: u64,
    /// The maximum size of all interim answers before the head, in bytes.
    pub interim_bytes: u64,
    /// The maximum size of the body, in bytes.
    pub body_bytes: u64,
}

impl AnswerLimits {
    /// The smallest maximum size of a head: that of the buffer of a connection, in bytes.
    pub const MIN_HEAD_BYTES: u64 = 8 * 1024;
}

impl Default for AnswerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 * 1024,
            interim_bytes: 64 * 1024,
            body_bytes: 1 << 30,
        }
    }
}
