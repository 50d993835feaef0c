/// The maximum number of hexadecimal digits of a chunk's size.
const MAX_SIZE_DIGITS: u32 = 15;

/// Finds the end of a body that is sent in chunks.
///
/// Anything that isn't strictly in the form of HTTP/1.1 counts as invalid.
///
/// # Examples
///
/// ```
/// use lentilshift_node::{ChunkReader, ChunkStep};
///
/// let mut reader = ChunkReader::default();
/// let bytes = b"3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n";
/// assert_eq!(reader.read(bytes), ChunkStep::End(13));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChunkReader {
    position: ChunkPosition,
}

/// What some bytes of a body in chunks contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkStep {
    /// All bytes belong to the body, and more follow.
    More,
    /// The body ends after this number of bytes.
    End(usize),
    /// The bytes aren't chunks.
    Invalid,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkPosition {
    /// In the digits of a size, of which there were some.
    Size { size: u64, digits: u32 },
    /// Behind the digits of a size.
    Extension { size: u64 },
    /// At the line feed behind a size.
    SizeEnd { size: u64 },
    /// In the data of a chunk.
    Data { left: u64 },
    /// At the carriage return behind the data.
    DataReturn,
    /// At the line feed behind the data.
    DataEnd,
    /// At the start of a line behind the last chunk.
    LineStart,
    /// In a trailer.
    Trailer,
    /// At the line feed behind a trailer.
    TrailerEnd,
    /// At the last line feed.
    LastEnd,
    /// Behind the body.
    Done,
}

impl Default for ChunkPosition {
    fn default() -> Self {
        Self::Size { size: 0, digits: 0 }
    }
}

impl ChunkReader {
    /// Returns the number of bytes that are left of the current chunk's data.
    #[must_use]
    pub const fn data_left(&self) -> u64 {
        match self.position {
            ChunkPosition::Data { left } => left,
            _ => 0,
        }
    }

    /// Skips bytes of the current chunk's data, at most as many as are left.
    pub fn skip_data(&mut self, bytes: u64) {
        if let ChunkPosition::Data { left } = self.position {
            self.position = match left.saturating_sub(bytes) {
                0 => ChunkPosition::DataReturn,
                left => ChunkPosition::Data { left },
            };
        }
    }

    /// Reads the next bytes.
    #[must_use]
    pub fn read(&mut self, bytes: &[u8]) -> ChunkStep {
        let mut at = 0;
        while at < bytes.len() {
            let left = usize::try_from(self.data_left()).unwrap_or(usize::MAX);
            if left > 0 {
                let skipped = left.min(bytes.len() - at);
                self.skip_data(skipped as u64);
                at += skipped;
                continue;
            }
            match self.position.next(bytes[at]) {
                Some(position) => self.position = position,
                None => return ChunkStep::Invalid,
            }
            at += 1;
            if self.position == ChunkPosition::Done {
                return ChunkStep::End(at);
            }
        }
        ChunkStep::More
    }
}

impl ChunkPosition {
    /// Returns the position behind a byte that isn't data, or `None` if the byte is invalid.
    fn next(self, byte: u8) -> Option<Self> {
        match (self, byte) {
            (Self::Size { size, digits }, _) if byte.is_ascii_hexdigit() => {
                let digit = char::from(byte).to_digit(16)?;
                (digits < MAX_SIZE_DIGITS).then(|| Self::Size {
                    size: size * 16 + u64::from(digit),
                    digits: digits + 1,
                })
            }
            (Self::Size { digits: 0, .. }, _) => None,
            (Self::Size { size, .. } | Self::Extension { size }, b'\r') => {
                Some(Self::SizeEnd { size })
            }
            (Self::Size { size, .. }, b';' | b' ' | b'\t') => Some(Self::Extension { size }),
            (Self::Extension { size }, _) if byte != b'\n' => Some(Self::Extension { size }),
            (Self::SizeEnd { size: 0 } | Self::TrailerEnd, b'\n') => Some(Self::LineStart),
            (Self::SizeEnd { size }, b'\n') => Some(Self::Data { left: size }),
            (Self::DataReturn, b'\r') => Some(Self::DataEnd),
            (Self::DataEnd, b'\n') => Some(Self::default()),
            (Self::LineStart, b'\r') => Some(Self::LastEnd),
            (Self::LastEnd, b'\n') => Some(Self::Done),
            (Self::LineStart | Self::Trailer, _) if byte != b'\r' && byte != b'\n' => {
                Some(Self::Trailer)
            }
            (Self::Trailer, b'\r') => Some(Self::TrailerEnd),
            _ => None,
        }
    }
}
