use std::collections::{BTreeMap, BTreeSet, VecDeque};

use clock::ClockTime;
use model::{AttemptId, VmName};

use crate::held_failures::{HeldFailure, HeldFailures, HeldNews};
use crate::run_gate::{GateRun, RunGate};
use crate::{
    NewsId, RequestFingerprint, SuspectAction, SuspectDecision, SuspectEntry, SuspectList,
    SuspectNews, SuspectSettings, home_vm,
};

/// News of a peer that is acknowledged once its requests no longer run here.
#[derive(Clone, Debug)]
struct OwedAck {
    to: VmName,
    id: NewsId,
    fingerprints: BTreeSet<RequestFingerprint>,
}

/// Decides which requests may run beside one backend server, and which of them alone.
///
/// The node calls [`begin`](Self::begin) before a request goes to its backend server,
/// [`finish`](Self::finish) when it is answered and [`crash`](Self::crash) when the backend
/// server dies. Suspects of one crash are assigned to the VMs of the service in turn, each to
/// one VM, so a request that crashes them runs at two at most. When copies of it ran at more
/// VMs than that before the news of the first crash came, it runs at no other.
#[derive(Clone, Debug)]
pub struct SuspectTable {
    settings: SuspectSettings,
    vm: VmName,
    peers: Vec<VmName>,
    list: SuspectList,
    gate: RunGate,
    abandoned: VecDeque<(ClockTime, AttemptId, GateRun)>,
    clean: BTreeMap<RequestFingerprint, ClockTime>,
    held: HeldFailures,
    owed: Vec<OwedAck>,
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
            clean: BTreeMap::new(),
            held: HeldFailures::default(),
            owed: Vec::new(),
        }
    }

    /// Sets the other VMs of the service whose nodes are reachable.
    ///
    /// News doesn't wait for a VM that isn't among them any more.
    pub fn set_peers(&mut self, peers: impl Into<Vec<VmName>>) {
        self.peers = peers.into();
        self.held.keep_peers(&self.peers);
    }

    /// Returns the other VMs of the service.
    #[must_use]
    pub fn peers(&self) -> &[VmName] {
        &self.peers
    }

    /// Returns whether peers are still being told of a crash of the request.
    ///
    /// Until then a copy sent to another VM might run there as an ordinary request.
    #[must_use]
    pub fn is_telling(&self, fingerprint: RequestFingerprint) -> bool {
        self.held.is_about(fingerprint)
    }

    /// Returns the requests known as suspect or in quarantine.
    #[must_use]
    pub const fn list(&self) -> &SuspectList {
        &self.list
    }

    /// Returns whether a request may run now.
    ///
    /// `is_single` keeps copies of a request that isn't a plain read from running here at once.
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

    /// Notes that a run was answered, or that a waiting attempt left.
    pub fn finish(&mut self, now: ClockTime, attempt: AttemptId, actions: &mut Vec<SuspectAction>) {
        if let Some(run) = self.gate.leave(attempt) {
            self.note_clean(now, run, actions);
        }
        self.admit(actions);
        self.pay_acks(now, actions);
    }

    /// Notes that an attempt ended before any byte of it reached the backend server.
    ///
    /// It tells nothing about the request, neither that it crashes nor that it is clean.
    pub fn withdraw(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        actions: &mut Vec<SuspectAction>,
    ) {
        self.gate.leave(attempt);
        self.admit(actions);
        self.pay_acks(now, actions);
    }

    /// Notes that a run ended without proof that the backend server survives it: its caller
    /// left, or its deadline passed.
    pub fn abandon(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        actions: &mut Vec<SuspectAction>,
    ) {
        if let Some(run) = self.gate.leave(attempt) {
            self.abandoned.push_back((now, attempt, run));
        }
        self.forget_abandoned(now);
        self.admit(actions);
        self.pay_acks(now, actions);
    }

    /// Notes that the backend server died with all that ran on it.
    ///
    /// What has had a clean run lately is let off once; all else becomes suspect.
    pub fn crash(&mut self, now: ClockTime, actions: &mut Vec<SuspectAction>) {
        self.forget_abandoned(now);
        let mut news = Vec::new();
        for (_, attempt, run) in std::mem::take(&mut self.abandoned) {
            news.push(self.crash_news(attempt, run, news.len()));
        }
        let mut suspects = Vec::new();
        for (attempt, run) in self.gate.take_running() {
            if !run.is_alone && self.take_clean(now, run.fingerprint) {
                actions.push(SuspectAction::Fail {
                    attempt,
                    may_retry: true,
                });
                continue;
            }
            news.push(self.crash_news(attempt, run, news.len()));
            let may_retry = !run.is_alone;
            suspects.push(HeldFailure { attempt, may_retry });
        }
        for item in &news {
            self.list.take(now, &self.settings, item);
        }
        if !news.is_empty() {
            let fingerprints = news.iter().map(SuspectNews::fingerprint).collect();
            self.tell(
                now.plus_ms(self.settings.tell_ms),
                suspects,
                fingerprints,
                news,
                actions,
            );
        }
        self.reconsider(actions);
        self.admit(actions);
        self.pay_acks(now, actions);
        self.poll(now, actions);
    }

    /// Notes that a peer has taken news, and what it knows of the same requests.
    pub fn receive_ack(
        &mut self,
        now: ClockTime,
        from: &VmName,
        id: NewsId,
        news: &[SuspectNews],
        actions: &mut Vec<SuspectAction>,
    ) {
        self.take(now, news, actions);
        self.held.note_ack(id, from);
        self.poll(now, actions);
    }

    /// Takes news of a peer; it is acknowledged once its requests no longer run here.
    pub fn receive(
        &mut self,
        now: ClockTime,
        from: VmName,
        id: NewsId,
        news: &[SuspectNews],
        actions: &mut Vec<SuspectAction>,
    ) {
        self.take(now, news, actions);
        self.owed.push(OwedAck {
            to: from,
            id,
            fingerprints: news.iter().map(SuspectNews::fingerprint).collect(),
        });
        self.pay_acks(now, actions);
    }

    /// Takes all that a peer knows, when a link to it is new.
    pub fn take(&mut self, now: ClockTime, news: &[SuspectNews], actions: &mut Vec<SuspectAction>) {
        for item in news {
            self.list.take(now, &self.settings, item);
        }
        self.reconsider(actions);
        self.admit(actions);
    }

    /// Answers the failures whose news was taken or took too long, and drops what has expired.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<SuspectAction>) {
        self.list.expire(now, &self.settings);
        for held in self.held.take_done(now) {
            self.answer_or_tell_again(now, held, actions);
        }
    }

    /// Returns when [`poll`](Self::poll) has a failure to answer, if one is held.
    #[must_use]
    pub fn next_poll(&self) -> Option<ClockTime> {
        self.held.next_due()
    }

    fn crash_news(&self, attempt: AttemptId, run: GateRun, turn: usize) -> SuspectNews {
        SuspectNews::Crashed {
            fingerprint: run.fingerprint,
            attempt,
            runner: self.runner(turn),
            was_alone: run.is_alone,
            age_ms: 0,
        }
    }

    /// Returns the VM that may run the suspect of a crash with number `turn`.
    fn runner(&self, turn: usize) -> VmName {
        if self.peers.is_empty() {
            return self.vm.clone();
        }
        self.peers[turn % self.peers.len()].clone()
    }

    /// Returns the VM that may run a suspect; another one when the assigned VM is gone.
    fn runner_of(&self, fingerprint: RequestFingerprint, entry: &SuspectEntry) -> VmName {
        let is_known = entry.runner == self.vm || self.peers.contains(&entry.runner);
        if is_known {
            return entry.runner.clone();
        }
        let mut vms = self.peers.clone();
        vms.push(self.vm.clone());
        home_vm(fingerprint, &vms).unwrap_or(&self.vm).clone()
    }

    fn tell(
        &mut self,
        answer_by: ClockTime,
        failures: Vec<HeldFailure>,
        fingerprints: BTreeSet<RequestFingerprint>,
        news: Vec<SuspectNews>,
        actions: &mut Vec<SuspectAction>,
    ) {
        let id = self.held.add(HeldNews {
            failures,
            crashes: self.count_crashes(&fingerprints),
            fingerprints,
            waiting_for: self.peers.iter().cloned().collect(),
            answer_by,
        });
        actions.push(SuspectAction::Tell(id, news));
    }

    /// Answers the failures, unless peers told of further crashes that others may not know.
    fn answer_or_tell_again(
        &mut self,
        now: ClockTime,
        held: HeldNews,
        actions: &mut Vec<SuspectAction>,
    ) {
        let has_more = self.count_crashes(&held.fingerprints) > held.crashes;
        if has_more && now < held.answer_by {
            let news = self.list.news_about(now, &held.fingerprints);
            self.tell(
                held.answer_by,
                held.failures,
                held.fingerprints,
                news,
                actions,
            );
            return;
        }
        let fail = |failure: &HeldFailure| SuspectAction::Fail {
            attempt: failure.attempt,
            may_retry: failure.may_retry,
        };
        actions.extend(held.failures.iter().map(fail));
    }

    fn count_crashes(&self, fingerprints: &BTreeSet<RequestFingerprint>) -> usize {
        let entries = fingerprints.iter().filter_map(|key| self.list.get(*key));
        entries.map(|entry| entry.crashes.len()).sum()
    }

    fn pay_acks(&mut self, now: ClockTime, actions: &mut Vec<SuspectAction>) {
        let gate = &self.gate;
        let due = self
            .owed
            .extract_if(.., |owed| !gate.runs_any(&owed.fingerprints));
        for owed in due {
            actions.push(SuspectAction::Ack {
                news: self.list.news_about(now, &owed.fingerprints),
                to: owed.to,
                id: owed.id,
            });
        }
    }

    /// Returns whether the request has had a clean run lately that hasn't let it off yet.
    fn take_clean(&mut self, now: ClockTime, fingerprint: RequestFingerprint) -> bool {
        let clean_ms = self.settings.clean_ms;
        let is_recent = |time: ClockTime| now.since_ms(time) < clean_ms;
        self.clean.remove(&fingerprint).is_some_and(is_recent)
    }

    fn forget_abandoned(&mut self, now: ClockTime) {
        let linger_ms = self.settings.linger_ms;
        self.abandoned
            .retain(|(time, ..)| now.since_ms(*time) < linger_ms);
        while self.abandoned.len() > self.settings.max_clean {
            self.abandoned.pop_front();
        }
    }

    fn note_clean(&mut self, now: ClockTime, run: GateRun, actions: &mut Vec<SuspectAction>) {
        self.clean.insert(run.fingerprint, now);
        if self.clean.len() > self.settings.max_clean {
            self.drop_old_clean(now);
        }
        let Some(entry) = self.list.get(run.fingerprint).filter(|_| run.is_alone) else {
            return;
        };
        let cleared = |attempt: &AttemptId| SuspectNews::Cleared {
            fingerprint: run.fingerprint,
            attempt: *attempt,
        };
        let news: Vec<SuspectNews> = entry.crashes.iter().map(cleared).collect();
        for item in &news {
            self.list.take(now, &self.settings, item);
        }
        let fingerprints = BTreeSet::from([run.fingerprint]);
        self.tell(now, Vec::new(), fingerprints, news, actions);
    }

    fn drop_old_clean(&mut self, now: ClockTime) {
        let settings = self.settings;
        self.clean
            .retain(|_, time| now.since_ms(*time) < settings.clean_ms);
        if self.clean.len() > settings.max_clean {
            self.clean.clear();
        }
    }

    /// Sends waiting attempts back whose request has become suspect or was cleared.
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
