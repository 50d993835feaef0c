use std::collections::BTreeMap;

use model::RecordId;

use crate::{ClaimRecord, SnapshotMark, SnapshotPart};

/// What a node that can't see the start of the stream gathers until it has a whole snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotReader {
    /// The first offset that could be read.
    pub(crate) first_offset: u64,
    /// The records read so far, for the replay after the snapshot.
    pub(crate) records: Vec<(u64, ClaimRecord)>,
    parts: BTreeMap<RecordId, BTreeMap<u32, SnapshotPart>>,
}

impl SnapshotReader {
    pub(crate) fn new(first_offset: u64) -> Self {
        Self {
            first_offset,
            ..Self::default()
        }
    }

    /// Takes a part and returns all parts once the snapshot is whole.
    pub(crate) fn add(&mut self, part: &SnapshotPart) -> Option<Vec<SnapshotPart>> {
        if part.next_offset < self.first_offset {
            return None;
        }
        let parts = self.parts.entry(part.snapshot).or_default();
        parts.insert(part.part, part.clone());
        if parts.len() < part.parts as usize {
            return None;
        }
        self.parts
            .remove(&part.snapshot)
            .map(|parts| parts.into_values().collect())
    }
}

/// Returns the marks of a whole snapshot.
pub(crate) fn marks_of(parts: &[SnapshotPart]) -> Vec<SnapshotMark> {
    parts.iter().flat_map(|part| part.marks.clone()).collect()
}
