use std::collections::{BTreeMap, VecDeque};

use clock::ClockTime;
use model::{AttemptId, VmName};

use crate::run_gate::{GateRun, RunGate};
use crate::{
    NewsId, RequestFingerprint, SuspectAction, SuspectDecision, SuspectEntry, SuspectList,
    SuspectNews, SuspectSettings, home_vm,
};

/// The failures that wait until peers have taken the news.
#[derive(Clone, Debug)]
struct HeldFailures {
    /// The attempts, and whether each may be retried.
    attempts: Vec<(AttemptId, bool)>,
    answer_by: ClockTime,
}

/// Decides which requests may run beside one backend server, and which of them alone.
///
/// The node calls [`begin`](Self::begin) before a request goes to its backend server,
/// [`finish`](Self::finish) when it is answered and [`crash`](Self::crash) when the backend
/// server dies. Suspects of one crash are assigned to the VMs of the service in turn, each to
/// one VM, so a request that crashes them runs at two at most when no two copies of it ran at
/// different VMs before the first crash.
#[derive(Clone, Debug)]
pub struct SuspectBook {
    settings: SuspectSettings,
    vm: VmName,
    peers: Vec<VmName>,
    list: SuspectList,
    gate: RunGate,
    abandoned: VecDeque<(ClockTime, AttemptId, GateRun)>,
    clean: BTreeMap<RequestFingerprint, ClockTime>,
    held: BTreeMap<NewsId, HeldFailures>,
    next_news: u64,
}

impl SuspectBook {
    /// Creates the book of the node on `vm`.
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
            held: BTreeMap::new(),
            next_news: 0,
        }
    }

    /// Sets the other VMs of the service whose nodes are reachable.
    pub fn set_peers(&mut self, peers: impl Into<Vec<VmName>>) {
        self.peers = peers.into();
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
            suspects.push((attempt, !run.is_alone));
        }
        for item in &news {
            self.list.take(now, &self.settings, item);
        }
        self.hold(now, suspects, news, actions);
        self.reconsider(actions);
        self.admit(actions);
    }

    /// Notes that all reachable peers have taken the news.
    pub fn told(&mut self, id: NewsId, actions: &mut Vec<SuspectAction>) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        for (attempt, may_retry) in held.attempts {
            actions.push(SuspectAction::Fail { attempt, may_retry });
        }
    }

    /// Takes news of a peer.
    pub fn receive(
        &mut self,
        now: ClockTime,
        news: &[SuspectNews],
        actions: &mut Vec<SuspectAction>,
    ) {
        for item in news {
            self.list.take(now, &self.settings, item);
        }
        self.reconsider(actions);
        self.admit(actions);
    }

    /// Answers the failures whose peers took too long, and drops what has expired.
    pub fn poll(&mut self, now: ClockTime, actions: &mut Vec<SuspectAction>) {
        self.list.expire(now, &self.settings);
        let is_due = |held: &HeldFailures| held.answer_by <= now;
        let due = self.held.iter().filter(|(_, held)| is_due(held));
        let due: Vec<NewsId> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.told(id, actions);
        }
    }

    /// Returns when [`poll`](Self::poll) has a failure to answer, if one is held.
    #[must_use]
    pub fn next_poll(&self) -> Option<ClockTime> {
        self.held.values().map(|held| held.answer_by).min()
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

    fn hold(
        &mut self,
        now: ClockTime,
        attempts: Vec<(AttemptId, bool)>,
        news: Vec<SuspectNews>,
        actions: &mut Vec<SuspectAction>,
    ) {
        if news.is_empty() {
            return;
        }
        let id = NewsId(self.next_news);
        self.next_news += 1;
        let held = HeldFailures {
            attempts,
            answer_by: now.plus_ms(self.settings.tell_ms),
        };
        self.held.insert(id, held);
        actions.push(SuspectAction::Tell(id, news));
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
        self.hold(now, Vec::new(), news, actions);
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
