use limit::ClientLimits;

/// What clients may send, and what a node holds for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// The limits of the bytes and connections that are held for clients.
    pub limits: ClientLimits,
    /// The maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// The maximum number of header fields of an HTTP/1.1 request.
    pub fields: usize,
    /// The flow-control window of an HTTP/2 connection, in bytes.
    pub http2_window_bytes: u32,
    /// The maximum number of concurrent requests on an HTTP/2 connection.
    pub http2_streams: u32,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            limits: ClientLimits::default(),
            head_bytes: 64 * 1024,
            fields: 100,
            http2_window_bytes: 1 << 20,
            http2_streams: 1_000,
        }
    }
}

/// The maximum size of a head where memory is scarce, in bytes; above that of the platform's
/// clients.
const SMALL_HEAD_BYTES: usize = 20 * 1024;
/// The flow-control window of an HTTP/2 connection where memory is scarce, in bytes.
const SMALL_WINDOW_BYTES: u32 = 64 * 1024;
/// The maximum number of concurrent requests on an HTTP/2 connection where memory is scarce.
const SMALL_STREAMS: u32 = 32;

impl ClientSettings {
    /// Returns the settings for a VM with a known amount of memory and descriptors.
    #[must_use]
    pub fn for_vm(memory_bytes: Option<u64>, descriptors: Option<usize>) -> Self {
        let limits = ClientLimits::default().for_vm(memory_bytes, descriptors);
        Self {
            limits,
            head_bytes: SMALL_HEAD_BYTES,
            http2_window_bytes: SMALL_WINDOW_BYTES,
            http2_streams: SMALL_STREAMS,
            ..Self::default()
        }
    }
}
