use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use model::{AttemptId, VmName};

use crate::snapshot_reader::{SnapshotReader, marks_of};
use crate::{
    CallFingerprint, ClaimBody, ClaimEntry, ClaimRecord, KeyDigest, SnapshotChunk, SnapshotClaim,
    SnapshotMark,
};

/// The claim that owns a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldClaim {
    /// The only attempt that may run.
    pub attempt: AttemptId,
    /// The VM of the attempt.
    pub vm: VmName,
    /// The fingerprint of the call's name and body.
    pub fingerprint: CallFingerprint,
    /// The offset of the claim.
    pub offset: u64,
}

/// A state change caused by a folded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldEvent {
    /// The owner of a key changed or a claim of it was decided.
    KeyChanged(KeyDigest),
    /// The last chunk of a snapshot was read.
    SnapshotSeen,
    /// The fold became complete; holds the marks of the snapshot it started from.
    Completed(Vec<SnapshotMark>),
}

/// The state that every node derives from the stream of claims of its service.
///
/// The claim of a key with the lowest offset owns it until it is released or expires. A node that
/// can't read the stream from its first record is incomplete until it has read a whole snapshot, or
/// an expiry of all records that it couldn't read.
///
/// After such an expiry, the claims read before it may have lost to claims that weren't read. Their
/// keys stay blocked until the last claim of each has expired.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    claims: BTreeMap<KeyDigest, HeldClaim>,
    next_offset: u64,
    reader: Option<SnapshotReader>,
    blocked: BTreeSet<KeyDigest>,
}

impl ClaimFold {
    /// Creates a fold that starts at `first_offset`, the oldest offset retained by the log.
    #[must_use]
    pub fn new(first_offset: u64) -> Self {
        Self {
            claims: BTreeMap::new(),
            next_offset: first_offset,
            reader: (first_offset > 0).then(|| SnapshotReader::new(first_offset)),
            blocked: BTreeSet::new(),
        }
    }

    /// Returns whether the fold knows every claim within the horizon.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.reader.is_none()
    }

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub const fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there is no claim.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the claim that owns a key.
    #[must_use]
    pub fn owner(&self, key: KeyDigest) -> Option<&HeldClaim> {
        self.claims.get(&key)
    }

    /// Folds the record at an offset, unless it was folded before.
    pub fn apply(&mut self, offset: u64, record: &ClaimRecord) -> Vec<FoldEvent> {
        if offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = offset + 1;
        let Some(mut reader) = self.reader.take() else {
            return self.fold(offset, record);
        };
        let first_offset = reader.first_offset;
        let whole = match &record.body {
            ClaimBody::Snapshot(chunk) => reader.add(chunk),
            ClaimBody::Expire { below } if *below >= first_offset => {
                return self.start_after_expiry(*below, reader);
            }
            _ => {
                reader.records.push((offset, record.clone()));
                None
            }
        };
        if let Some(chunks) = whole {
            return self.start_from(&chunks, reader);
        }
        self.reader = Some(reader);
        Vec::new()
    }

    /// Skips the record at an offset, which belongs to another service.
    pub fn skip(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Returns the first offset that the fold could read, while it is incomplete.
    #[must_use]
    pub fn unread_below(&self) -> Option<u64> {
        self.reader.as_ref().map(|reader| reader.first_offset)
    }

    /// Returns whether the fold is complete and no key is blocked, so that a snapshot of it may
    /// replace the log.
    #[must_use]
    pub fn is_exact(&self) -> bool {
        self.is_complete() && self.blocked.is_empty()
    }

    /// Returns the keys owned by attempts of one VM.
    pub fn claims_of<'a>(
        &'a self,
        vm: &'a VmName,
    ) -> impl Iterator<Item = (KeyDigest, AttemptId)> + 'a {
        self.claims
            .iter()
            .filter(move |(_, claim)| claim.vm == *vm)
            .map(|(key, claim)| (*key, claim.attempt))
    }

    /// Returns all claims.
    pub(crate) fn into_claims(self) -> impl Iterator<Item = (KeyDigest, HeldClaim)> {
        self.claims.into_iter()
    }

    /// Splits all claims into chunks of a snapshot, with at most `chunk_claims` claims each.
    #[must_use]
    pub fn snapshot_claims(&self, chunk_claims: usize) -> Vec<Vec<SnapshotClaim>> {
        let claims: Vec<SnapshotClaim> = self
            .claims
            .iter()
            .map(|(key, claim)| SnapshotClaim {
                key: *key,
                claim: claim.clone(),
            })
            .collect();
        if claims.is_empty() {
            return vec![Vec::new()];
        }
        claims
            .chunks(chunk_claims.max(1))
            .map(<[_]>::to_vec)
            .collect()
    }

    fn start_from(&mut self, chunks: &[SnapshotChunk], reader: SnapshotReader) -> Vec<FoldEvent> {
        let start = chunks.first().map_or(0, |chunk| chunk.next_offset);
        let claims = chunks.iter().flat_map(|chunk| chunk.claims.iter().cloned());
        self.claims = claims.map(|copy| (copy.key, copy.claim)).collect();
        let mut events = vec![FoldEvent::Completed(marks_of(chunks))];
        for (offset, record) in reader.records {
            if offset >= start {
                events.append(&mut self.fold(offset, &record));
            }
        }
        events
    }

    fn start_after_expiry(&mut self, below: u64, reader: SnapshotReader) -> Vec<FoldEvent> {
        let mut events = vec![FoldEvent::Completed(Vec::new())];
        for (offset, record) in reader.records {
            if let ClaimBody::Batch(entries) = &record.body {
                let keys = entries.iter().map(ClaimEntry::key);
                self.blocked.extend(keys);
            }
            events.append(&mut self.fold(offset, &record));
        }
        self.expire(below);
        events
    }

    fn expire(&mut self, below: u64) {
        self.claims.retain(|_, claim| claim.offset >= below);
        let claims = &self.claims;
        self.blocked.retain(|key| claims.contains_key(key));
    }

    fn fold(&mut self, offset: u64, record: &ClaimRecord) -> Vec<FoldEvent> {
        match &record.body {
            ClaimBody::Batch(entries) => entries
                .iter()
                .map(|entry| self.fold_entry(offset, &record.vm, entry))
                .collect(),
            ClaimBody::Expire { below } => {
                self.expire(*below);
                Vec::new()
            }
            ClaimBody::Snapshot(chunk) if chunk.index + 1 == chunk.count => {
                vec![FoldEvent::SnapshotSeen]
            }
            ClaimBody::Snapshot(_) => Vec::new(),
        }
    }

    fn fold_entry(&mut self, offset: u64, vm: &VmName, entry: &ClaimEntry) -> FoldEvent {
        match *entry {
            ClaimEntry::Claim {
                key,
                attempt,
                fingerprint,
            } => {
                let claim = self.claims.entry(key).or_insert_with(|| HeldClaim {
                    attempt,
                    vm: vm.clone(),
                    fingerprint,
                    offset,
                });
                if self.blocked.contains(&key) {
                    claim.offset = offset;
                }
                FoldEvent::KeyChanged(key)
            }
            ClaimEntry::Release { key, attempt } => {
                let is_owner = |claim: &HeldClaim| claim.attempt == attempt;
                if !self.blocked.contains(&key) && self.claims.get(&key).is_some_and(is_owner) {
                    self.claims.remove(&key);
                }
                FoldEvent::KeyChanged(key)
            }
        }
    }
}
