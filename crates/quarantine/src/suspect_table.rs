use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clock::ClockTime;
use model::{AttemptId, VmName};

use crate::pending_updates::{DeferredFailure, PendingUpdate, PendingUpdates};
use crate::run_gate::{GateRun, RunGate};
use crate::{
    RequestFingerprint, SuspectAction, SuspectDecision, SuspectEntry, SuspectList, SuspectSettings,
    SuspectUpdate, UpdateId, designated_vm,
};

/// Updates of a peer, to be acknowledged once their requests no longer run here.
#[derive(Clone, Debug)]
struct PendingAck {
    to: VmName,
    id: UpdateId,
    fingerprints: BTreeSet<RequestFingerprint>,
}

/// Decides which requests may run on one backend server, and which of them only alone.
///
/// The node calls [`begin`](Self::begin) before a request is sent to the backend server,
/// [`finish`](Self::finish) when it is answered and [`crash`](Self::crash) when the backend
/// server crashes. Each suspect of a crash is assigned to one other VM of the service, in turn, so
/// a request that crashes backend servers runs on at most two VMs. If copies of it were already
/// running on more VMs when the update about the first crash arrived, it runs on no others.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    settings: SuspectSettings,
    vm: VmName,
    peers: Vec<VmName>,
    list: SuspectList,
    gate: RunGate,
    abandoned: VecDeque<(ClockTime, AttemptId, GateRun)>,
    clean_runs: BTreeMap<RequestFingerprint, ClockTime>,
    pending: PendingUpdates,
    pending_acks: Vec<PendingAck>,
}

impl SuspectTable {
    /// Creates the table of the node on `vm`.
    #[must_use]
    pub fn new(settings: SuspectSettings, vm: VmName) -> Self {
        Self {
            settings,
            vm,
            peers: Vec::new(),
            list: SuspectList::default(),
            gate: RunGate::default(),
            abandoned: VecDeque::new(),
            clean_runs: BTreeMap::new(),
            pending: PendingUpdates::default(),
            pending_acks: Vec::new(),
        }
    }

    /// Sets the other VMs of the service whose nodes are reachable.
    ///
    /// Updates no longer wait for the acknowledgement of a VM that isn't among them.
    pub fn set_peers(&mut self, peers: impl Into<Vec<VmName>>) {
        self.peers = peers.into();
        self.pending.retain_peers(&self.peers);
    }

    /// Returns the other VMs of the service.
    #[must_use]
    pub fn peers(&self) -> &[VmName] {
        &self.peers
    }

    /// Returns whether some peers haven't yet acknowledged an update about the request.
    ///
    /// Until they have, a copy sent to another VM might run there as an ordinary request.
    #[must_use]
    pub fn is_notifying(&self, fingerprint: RequestFingerprint) -> bool {
        self.pending.has_update_about(fingerprint)
    }

    /// Returns the requests that are suspect or in quarantine.
    #[must_use]
    pub const fn list(&self) -> &SuspectList {
        &self.list
    }

    /// Decides whether a request may run now.
    ///
    /// With `is_single`, no two copies of the request run here at the same time; it is set unless the
    /// request is a plain read.
    pub fn begin(
        &mut self,
        now: ClockTime,
        fingerprint: RequestFingerprint,
        attempt: AttemptId,
        is_single: bool,
    ) -> SuspectDecision {
        self.list.expire(now, &self.settings);
        let is_alone = match self.list.get(fingerprint) {
            None => false,
            Some(entry) if entry.is_quarantined() => return SuspectDecision::Refuse,
            Some(entry) => {
                let runner = self.runner_of(fingerprint, entry);
                if runner != self.vm {
                    return SuspectDecision::SendTo(runner);
                }
                true
            }
        };
        let run = GateRun {
            fingerprint,
            is_alone,
            is_single,
        };
        match (self.gate.enter(attempt, run), is_alone) {
            (false, _) => SuspectDecision::Wait,
            (true, false) => SuspectDecision::Run,
            (true, true) => SuspectDecision::RunAlone,
        }
    }

    /// Records that a run was answered, or that a waiting attempt was cancelled.
    pub fn finish(&mut self, now: ClockTime, attempt: AttemptId, actions: &mut Vec<SuspectAction>) {
        if let Some(run) = self.gate.leave(attempt) {
            self.record_clean_run(now, run, actions);
        }
        self.admit(actions);
        self.send_due_acks(now, actions);
    }

    /// Records that an attempt ended before any byte of it reached the backend server.
    ///
    /// This shows neither that the request causes a crash nor that it doesn't.
    pub fn withdraw(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        actions: &mut Vec<SuspectAction>,
    ) {
        self.gate.leave(attempt);
        self.admit(actions);
        self.send_due_acks(now, actions);
    }

    /// Records that a run ended without proof that the backend server survives it: its caller
    /// disconnected, or its deadline passed.
    pub fn abandon(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        actions: &mut Vec<SuspectAction>,
    ) {
        if let Some(run) = self.gate.leave(attempt) {
            self.abandoned.push_back((now, attempt, run));
        }
        self.drop_old_abandoned(now);
        self.admit(actions);
        self.send_due_acks(now, actions);
    }

    /// Records that the backend server crashed, which ended all its runs.
    ///
    /// A request that ran recently without a crash is exempted once; all others become suspect.
    pub fn crash(&mut self, now: ClockTime, actions: &mut Vec<SuspectAction>) {
        self.drop_old_abandoned(now);
        let mut updates = Vec::new();
        for (_, attempt, run) in std::mem::take(&mut self.abandoned) {
            updates.push(self.crash_update(attempt, run, updates.len()));
        }
        let mut suspects = Vec::new();
        for (attempt, run) in self.gate.take_running() {
            if !run.is_alone && self.consume_clean_run(now, run.fingerprint) {
                actions.push(SuspectAction::Fail {
                    attempt,
                    may_retry: true,
                });
                continue;
            }
            updates.push(self.crash_update(attempt, run, updates.len()));
            let may_retry = !run.is_alone;
            suspects.push(DeferredFailure { attempt, may_retry });
        }
        for update in &updates {
            self.list.apply(now, &self.settings, update);
        }
        if !updates.is_empty() {
            let fingerprints = updates.iter().map(SuspectUpdate::fingerprint).collect();
            self.notify_peers(
                now.plus_ms(self.settings.notify_ms),
                suspects,
                fingerprints,
                updates,
                actions,
            );
        }
        self.reconsider(actions);
        self.admit(actions);
        self.send_due_acks(now, actions);
        self.poll(now, actions);
    }

    /// Records a peer's acknowledgement and applies its updates about the same requests.
    pub fn receive_ack(
        &mut self,
        now: ClockTime,
        from: &VmName,
        id: UpdateId,
        updates: &[SuspectUpdate],
        actions: &mut Vec<SuspectAction>,
    ) {
        self.apply(now, updates, actions);
        self.pending.record_ack(id, from);
        self.poll(now, actions);
    }

    /// Applies a peer's updates, and acknowledges them once their requests no longer run here.
    pub fn receive(
        &mut self,
        now: ClockTime,
        from: VmName,
        id: UpdateId,
        updates: &[SuspectUpdate],
        actions: &mut Vec<SuspectAction>,
    ) {
        self.apply(now, updates, actions);
        self.pending_acks.push(PendingAck {
            to: from,
            id,
            fingerprints: updates.iter().map(SuspectUpdate::fingerprint).collect(),
        });
        self.send_due_acks(now, actions);
    }

    /// Applies updates that need no acknowledgement, such as a peer's full list on a new link.
    pub fn apply(
        &mut self,
        now: ClockTime,
        updates: &[SuspectUpdate],
        actions: &mut Vec<SuspectAction>,
    ) {
        for update in updates {
            self.list.apply(now, &self.settings, update);
        }
        self.reconsider(actions);
        self.admit(actions);
    }

    /// Answers the failures whose updates were acknowledged or timed out, and drops expired entries.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<SuspectAction>) {
        self.list.expire(now, &self.settings);
        for pending in self.pending.take_completed(now) {
            self.answer_or_notify_again(now, pending, actions);
        }
    }

    /// Returns when [`poll`](Self::poll) must be called to answer a deferred failure, if there is one.
    #[must_use]
    pub fn next_poll(&self) -> Option<ClockTime> {
        self.pending.next_timeout()
    }

    fn crash_update(&self, attempt: AttemptId, run: GateRun, index: usize) -> SuspectUpdate {
        SuspectUpdate::Crashed {
            fingerprint: run.fingerprint,
            attempt,
            runner: self.runner(index),
            was_alone: run.is_alone,
            age_ms: 0,
        }
    }

    /// Returns the VM to assign to the suspect number `index` of a crash.
    fn runner(&self, index: usize) -> VmName {
        if self.peers.is_empty() {
            return self.vm.clone();
        }
        self.peers[index % self.peers.len()].clone()
    }

    /// Returns the VM that may run a suspect: the assigned one, or another if that isn't reachable.
    fn runner_of(&self, fingerprint: RequestFingerprint, entry: &SuspectEntry) -> VmName {
        let is_known = entry.runner == self.vm || self.peers.contains(&entry.runner);
        if is_known {
            return entry.runner.clone();
        }
        let mut vms = self.peers.clone();
        vms.push(self.vm.clone());
        designated_vm(fingerprint, &vms).unwrap_or(&self.vm).clone()
    }

    fn notify_peers(
        &mut self,
        answer_by: ClockTime,
        failures: Vec<DeferredFailure>,
        fingerprints: BTreeSet<RequestFingerprint>,
        updates: Vec<SuspectUpdate>,
        actions: &mut Vec<SuspectAction>,
    ) {
        let id = self.pending.add(PendingUpdate {
            failures,
            known_crashes: self.count_crashes(&fingerprints),
            fingerprints,
            unacknowledged: self.peers.iter().cloned().collect(),
            answer_by,
        });
        actions.push(SuspectAction::Notify(id, updates));
    }

    /// Answers the failures, or first notifies peers again if further crashes have become known that
    /// some of them may not know of.
    fn answer_or_notify_again(
        &mut self,
        now: ClockTime,
        pending: PendingUpdate,
        actions: &mut Vec<SuspectAction>,
    ) {
        let has_more = self.count_crashes(&pending.fingerprints) > pending.known_crashes;
        if has_more && now < pending.answer_by {
            let updates = self.list.updates_about(now, &pending.fingerprints);
            self.notify_peers(
                pending.answer_by,
                pending.failures,
                pending.fingerprints,
                updates,
                actions,
            );
            return;
        }
        let fail = |failure: &DeferredFailure| SuspectAction::Fail {
            attempt: failure.attempt,
            may_retry: failure.may_retry,
        };
        actions.extend(pending.failures.iter().map(fail));
    }

    fn count_crashes(&self, fingerprints: &BTreeSet<RequestFingerprint>) -> usize {
        let entries = fingerprints.iter().filter_map(|key| self.list.get(*key));
        entries.map(|entry| entry.crashes.len()).sum()
    }

    fn send_due_acks(&mut self, now: ClockTime, actions: &mut Vec<SuspectAction>) {
        let gate = &self.gate;
        let due = self
            .pending_acks
            .extract_if(.., |ack| !gate.runs_any(&ack.fingerprints));
        for ack in due {
            actions.push(SuspectAction::Ack {
                updates: self.list.updates_about(now, &ack.fingerprints),
                to: ack.to,
                id: ack.id,
            });
        }
    }

    /// Returns whether the request ran recently without a crash, and uses up that exemption.
    fn consume_clean_run(&mut self, now: ClockTime, fingerprint: RequestFingerprint) -> bool {
        let clean_ms = self.settings.clean_ms;
        let is_recent = |time: ClockTime| now.since_ms(time) < clean_ms;
        self.clean_runs.remove(&fingerprint).is_some_and(is_recent)
    }

    fn drop_old_abandoned(&mut self, now: ClockTime) {
        let abandoned_ms = self.settings.abandoned_ms;
        self.abandoned
            .retain(|(time, ..)| now.since_ms(*time) < abandoned_ms);
        while self.abandoned.len() > self.settings.max_clean_runs {
            self.abandoned.pop_front();
        }
    }

    fn record_clean_run(&mut self, now: ClockTime, run: GateRun, actions: &mut Vec<SuspectAction>) {
        self.clean_runs.insert(run.fingerprint, now);
        if self.clean_runs.len() > self.settings.max_clean_runs {
            self.drop_old_clean_runs(now);
        }
        let Some(entry) = self.list.get(run.fingerprint).filter(|_| run.is_alone) else {
            return;
        };
        let cleared = |attempt: &AttemptId| SuspectUpdate::Cleared {
            fingerprint: run.fingerprint,
            attempt: *attempt,
        };
        let updates: Vec<SuspectUpdate> = entry.crashes.iter().map(cleared).collect();
        for update in &updates {
            self.list.apply(now, &self.settings, update);
        }
        let fingerprints = BTreeSet::from([run.fingerprint]);
        self.notify_peers(now, Vec::new(), fingerprints, updates, actions);
    }

    fn drop_old_clean_runs(&mut self, now: ClockTime) {
        let settings = self.settings;
        self.clean_runs
            .retain(|_, time| now.since_ms(*time) < settings.clean_ms);
        if self.clean_runs.len() > settings.max_clean_runs {
            self.clean_runs.clear();
        }
    }

    /// Returns waiting attempts to `begin` whose request has become suspect or was cleared.
    fn reconsider(&mut self, actions: &mut Vec<SuspectAction>) {
        let (list, vm) = (&self.list, &self.vm);
        let has_changed = |run: &GateRun| {
            let entry = list.get(run.fingerprint);
            entry.is_some() != run.is_alone
                || entry.is_some_and(|e| e.is_quarantined() || e.runner != *vm)
        };
        let attempts = self.gate.take_waiting(has_changed);
        actions.extend(attempts.into_iter().map(SuspectAction::Reconsider));
    }

    fn admit(&mut self, actions: &mut Vec<SuspectAction>) {
        let admitted = self.gate.admit();
        actions.extend(admitted.into_iter().map(SuspectAction::Start));
    }
}
