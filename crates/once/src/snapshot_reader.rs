use std::collections::BTreeMap;

use model::RecordId;

use crate::{ClaimRecord, SnapshotChunk, SnapshotMark};

/// Collects the chunks of snapshots and the other records, for a node that can't read the stream
/// from its first record, until one snapshot is complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotReader {
    /// The first offset that could be read.
    pub(crate) first_offset: u64,
    /// The records read so far, replayed on top of the snapshot.
    pub(crate) records: Vec<(u64, ClaimRecord)>,
    chunks: BTreeMap<RecordId, BTreeMap<u32, SnapshotChunk>>,
}

impl SnapshotReader {
    pub(crate) fn new(first_offset: u64) -> Self {
        Self {
            first_offset,
            ..Self::default()
        }
    }

    /// Adds a chunk, and returns all chunks of its snapshot once it is complete.
    pub(crate) fn add(&mut self, chunk: &SnapshotChunk) -> Option<Vec<SnapshotChunk>> {
        if chunk.next_offset < self.first_offset {
            return None;
        }
        let chunks = self.chunks.entry(chunk.snapshot).or_default();
        chunks.insert(chunk.index, chunk.clone());
        if chunks.len() < chunk.count as usize {
            return None;
        }
        self.chunks
            .remove(&chunk.snapshot)
            .map(|chunks| chunks.into_values().collect())
    }
}

/// Returns the marks of a complete snapshot.
pub(crate) fn marks_of(chunks: &[SnapshotChunk]) -> Vec<SnapshotMark> {
    chunks
        .iter()
        .flat_map(|chunk| chunk.marks.clone())
        .collect()
}
