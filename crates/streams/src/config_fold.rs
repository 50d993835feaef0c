use std::collections::BTreeSet;
use std::sync::Arc;

use model::CentreName;

use crate::{
    ChangeError, ConfigRecord, ConfigReplacement, ConfigSnapshot, ConfigVersion, KeyFold,
    LogOffset, LogRecord, RecordOutcome, TextChange, TextDigest,
};

/// The most records buffered until a snapshot arrives.
const MAX_BUFFERED_RECORDS: usize = 65_536;

/// Validates contract texts.
pub trait TextCheck {
    /// Validates a contract text.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    fn check(&self, text: &str) -> Result<(), String>;
}

impl<F: Fn(&str) -> Result<(), String>> TextCheck for F {
    fn check(&self, text: &str) -> Result<(), String> {
        self(text)
    }
}

/// A contract text and its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionedText {
    /// The version, [`ConfigVersion::NONE`] before the first text.
    pub version: ConfigVersion,
    /// The text.
    pub text: Arc<str>,
}

/// Why the newest text isn't in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextFault {
    /// The version of the text.
    pub version: ConfigVersion,
    /// What is wrong with it.
    pub reason: String,
}

/// The state of the configuration stream: contract text and keys.
///
/// Version numbers depend only on the order of the stream, never on the check, so that nodes of
/// different releases agree on them. A text that fails the check still gets a version but isn't put
/// in force; the last valid text stays in force.
///
/// # Examples
///
/// ```
/// use lentilshift_streams::{ConfigFold, ConfigRecord, ConfigVersion, RecordOutcome};
///
/// let mut fold = ConfigFold::new(|_: &str| Ok(()));
/// let record = ConfigRecord::publish(ConfigVersion::NONE, "", "first text");
/// let outcome = fold.apply_change(&record);
/// assert_eq!(outcome, RecordOutcome::Accepted { version: ConfigVersion::new(1) });
/// assert_eq!(&*fold.in_force().text, "first text");
/// ```
#[derive(Clone, Debug)]
pub struct ConfigFold<C> {
    check: C,
    newest: VersionedText,
    in_force: VersionedText,
    fault: Option<TextFault>,
    keys: KeyFold,
    evacuated: BTreeSet<CentreName>,
    next: LogOffset,
    buffered: Option<BufferedRecords>,
    /// The records before this offset were applied before the log came back.
    applied_before: LogOffset,
    /// Whether each record replaces the complete state, so that no snapshot is needed.
    is_replaced: bool,
}

/// The records after a gap, buffered until a snapshot covers the gap.
#[derive(Clone, Debug)]
struct BufferedRecords {
    from: LogOffset,
    records: Vec<LogRecord>,
}

impl BufferedRecords {
    const fn new(from: LogOffset) -> Self {
        let records = Vec::new();
        Self { from, records }
    }

    fn push(&mut self, record: LogRecord) {
        if self.records.len() == MAX_BUFFERED_RECORDS {
            self.from = self.records.remove(0).offset.next();
        }
        self.records.push(record);
    }
}

impl<C: TextCheck> ConfigFold<C> {
    /// Creates the state before the first record.
    pub fn new(check: C) -> Self {
        Self {
            check,
            newest: VersionedText::default(),
            in_force: VersionedText::default(),
            fault: None,
            keys: KeyFold::default(),
            evacuated: BTreeSet::new(),
            next: LogOffset::ZERO,
            buffered: None,
            applied_before: LogOffset::ZERO,
            is_replaced: false,
        }
    }

    /// Returns the text in force.
    #[must_use]
    pub const fn in_force(&self) -> &VersionedText {
        &self.in_force
    }

    /// Returns the newest text, which the next publication must name as its base.
    #[must_use]
    pub const fn newest(&self) -> &VersionedText {
        &self.newest
    }

    /// Returns why the newest text isn't in force, or `None` when it is.
    #[must_use]
    pub const fn fault(&self) -> Option<&TextFault> {
        self.fault.as_ref()
    }

    /// Returns the keys.
    #[must_use]
    pub const fn keys(&self) -> &KeyFold {
        &self.keys
    }

    /// Returns the data centres that are evacuated.
    #[must_use]
    pub const fn evacuated(&self) -> &BTreeSet<CentreName> {
        &self.evacuated
    }

    /// Returns the offset of the first record not yet applied.
    #[must_use]
    pub const fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns whether the state is complete, rather than waiting for a snapshot.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.buffered.is_none()
    }

    /// Returns whether each record replaces the complete state.
    #[must_use]
    pub const fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns the state as a snapshot, or `None` while it is incomplete.
    #[must_use]
    pub fn snapshot(&self) -> Option<ConfigSnapshot> {
        let valid_text =
            (self.in_force.version != self.newest.version).then(|| self.in_force.text.to_string());
        self.is_complete().then(|| ConfigSnapshot {
            covers: self.next,
            version: self.newest.version,
            text: self.newest.text.to_string(),
            valid_version: self.in_force.version,
            valid_text,
            keys: self.keys.clone(),
            is_replaced: self.is_replaced,
            evacuated: self.evacuated.clone(),
        })
    }

    /// Reads the stream again from its first record, as the log has come back without its last
    /// records. Texts and withdrawals are kept: neither ever reverts.
    pub fn go_back(&mut self) {
        if self.is_complete() {
            self.applied_before = self.applied_before.max(self.next);
        }
        self.next = LogOffset::ZERO;
        self.buffered = None;
    }

    /// Notifies the fold that records before `first` were removed from the log, so that unread ones
    /// are missing.
    pub fn lose_before(&mut self, first: LogOffset) {
        if first <= self.next {
            return;
        }
        self.next = first;
        if first > self.applied_before {
            self.buffered = Some(BufferedRecords::new(first));
        }
    }

    /// Applies the next record. A record that was applied before has no effect.
    pub fn apply(&mut self, record: &LogRecord) -> RecordOutcome {
        if record.offset > self.next {
            self.lose_before(record.offset);
        }
        let is_new = record.offset == self.next;
        if is_new {
            self.next = record.offset.next();
        }
        let Ok(change) = record.body.decode::<ConfigRecord>() else {
            return RecordOutcome::Unreadable;
        };
        if let ConfigRecord::Snapshot(snapshot) = &change {
            if snapshot.covers > record.offset {
                return RecordOutcome::Unreadable;
            }
            self.apply_snapshot(snapshot);
            let covers = snapshot.covers;
            return RecordOutcome::Repeated { covers };
        }
        if let ConfigRecord::Replace(state) = &change {
            self.buffered = None;
            return self.replace(state);
        }
        if is_new && self.buffered.is_some() {
            return self.buffer_record(record, &change);
        }
        self.apply_change(&change)
    }

    /// Applies the content of a record.
    pub fn apply_change(&mut self, change: &ConfigRecord) -> RecordOutcome {
        match change {
            ConfigRecord::Publish {
                base,
                digest,
                change,
            } => self.publish(*base, digest, change),
            ConfigRecord::Grant { digest, team } => self.keys.grant(*digest, team),
            ConfigRecord::Withdraw { digest } => self.keys.withdraw(*digest),
            ConfigRecord::Replace(state) => self.replace(state),
            ConfigRecord::Evacuate {
                centre,
                is_evacuated,
            } => self.evacuate(centre, *is_evacuated),
            ConfigRecord::Superseded => RecordOutcome::Superseded,
            ConfigRecord::Snapshot(snapshot) => {
                self.apply_snapshot(snapshot);
                let covers = snapshot.covers;
                RecordOutcome::Repeated { covers }
            }
        }
    }

    /// Applies a snapshot from the log or from a peer. An older snapshot never reverts newer state.
    pub fn apply_snapshot(&mut self, snapshot: &ConfigSnapshot) {
        if snapshot.is_replaced {
            self.apply_replaced_snapshot(snapshot);
            return;
        }
        self.keys.merge_withdrawn(&snapshot.keys);
        let is_update = match &self.buffered {
            Some(buffered) => snapshot.covers >= buffered.from,
            None => snapshot.covers > self.next,
        };
        if !is_update {
            return self.restore(snapshot);
        }
        self.keys.merge(&snapshot.keys);
        self.evacuated.clone_from(&snapshot.evacuated);
        if snapshot.version > self.newest.version {
            self.apply_snapshot_text(snapshot);
        }
        self.next = self.next.max(snapshot.covers);
        if let Some(buffered) = self.buffered.take() {
            self.replay(&buffered, snapshot.covers);
        }
    }

    /// Adds to a complete state what the log has lost since a snapshot's writer read it.
    ///
    /// On a log that has lost nothing, a snapshot never has more than the records before it.
    fn restore(&mut self, snapshot: &ConfigSnapshot) {
        if !self.is_complete() {
            return;
        }
        self.keys.merge(&snapshot.keys);
        if snapshot.version > self.newest.version {
            self.apply_snapshot_text(snapshot);
        }
    }

    /// Applies a snapshot of a stream whose records replace the complete state.
    fn apply_replaced_snapshot(&mut self, snapshot: &ConfigSnapshot) {
        self.is_replaced = true;
        if snapshot.version > self.newest.version {
            self.keys = snapshot.keys.clone();
            self.apply_snapshot_text(snapshot);
        }
        if snapshot.covers >= self.next {
            self.next = snapshot.covers;
            self.buffered = None;
            self.evacuated.clone_from(&snapshot.evacuated);
        }
    }

    /// Replaces the current text and keys, unless they are newer.
    fn replace(&mut self, state: &ConfigReplacement) -> RecordOutcome {
        self.is_replaced = true;
        if let Some(evacuated) = &state.evacuated {
            self.evacuated.clone_from(evacuated);
        }
        let now = self.newest.version;
        if state.version <= now {
            let base = state.version;
            return RecordOutcome::Stale { base, now };
        }
        self.keys = KeyFold::of_granted(&state.keys);
        self.set_newest(state.version, &state.text)
    }

    fn evacuate(&mut self, centre: &CentreName, is_evacuated: bool) -> RecordOutcome {
        if is_evacuated {
            self.evacuated.insert(centre.clone());
            RecordOutcome::CentreEvacuated
        } else {
            self.evacuated.remove(centre);
            RecordOutcome::CentreReturned
        }
    }

    fn replay(&mut self, buffered: &BufferedRecords, from: LogOffset) {
        let later = buffered
            .records
            .iter()
            .filter(|record| record.offset >= from);
        for change in later.filter_map(|record| record.body.decode().ok()) {
            self.apply_change(&change);
        }
    }

    fn buffer_record(&mut self, record: &LogRecord, change: &ConfigRecord) -> RecordOutcome {
        if let ConfigRecord::Withdraw { digest } = change {
            self.keys.withdraw(*digest);
        }
        if let Some(buffered) = &mut self.buffered {
            buffered.push(record.clone());
        }
        RecordOutcome::Waiting
    }

    fn publish(
        &mut self,
        base: ConfigVersion,
        digest: &TextDigest,
        change: &TextChange,
    ) -> RecordOutcome {
        let now = self.newest.version;
        if base != now {
            return RecordOutcome::Stale { base, now };
        }
        let text = match change.apply(&self.newest.text) {
            Ok(text) => text,
            Err(error) => return RecordOutcome::Broken { error },
        };
        if TextDigest::of_text(&text) != *digest {
            let error = ChangeError::WrongDigest;
            return RecordOutcome::Broken { error };
        }
        self.set_newest(now.next(), &text)
    }

    fn set_newest(&mut self, version: ConfigVersion, text: &str) -> RecordOutcome {
        let text = Arc::from(text);
        self.newest = VersionedText { version, text };
        match self.check.check(&self.newest.text) {
            Ok(()) => {
                self.in_force = self.newest.clone();
                self.fault = None;
                RecordOutcome::Accepted { version }
            }
            Err(reason) => {
                let fault = TextFault { version, reason };
                let reason = fault.reason.clone();
                self.fault = Some(fault);
                RecordOutcome::Invalid { version, reason }
            }
        }
    }

    fn apply_snapshot_text(&mut self, snapshot: &ConfigSnapshot) {
        if let Some(text) = &snapshot.valid_text
            && snapshot.valid_version > self.in_force.version
        {
            self.set_newest(snapshot.valid_version, text);
        }
        self.set_newest(snapshot.version, &snapshot.text);
    }
}
