//! Compares what callers were told with the backend servers' record.

use super::{GIVEN_UP, Told, World};
use lentilshift_once::KeyDigest;
use model::{AttemptId, RefusalReason, RunVerdict};

#[derive(Clone, Debug, Default)]
pub struct Findings {
    pub calls: u64,
    pub runs: u64,
    pub doubles: u64,
    pub false_not_run: u64,
    pub false_ran: u64,
    pub wrong_answers: u64,
    pub answers: u64,
    /// Calls refused though no attempt of their key ever ran.
    pub needless: u64,
    /// Those of them refused because the log couldn't be written.
    pub needless_log: u64,
}

impl Findings {
    pub fn faults(&self) -> u64 {
        self.doubles + self.false_not_run + self.false_ran + self.wrong_answers
    }

    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.runs += other.runs;
        self.doubles += other.doubles;
        self.false_not_run += other.false_not_run;
        self.false_ran += other.false_ran;
        self.wrong_answers += other.wrong_answers;
        self.answers += other.answers;
        self.needless += other.needless;
        self.needless_log += other.needless_log;
    }
}

impl<D> World<D> {
    pub(super) fn judge(&self) -> Findings {
        let mut findings = Findings {
            calls: self.keys.len() as u64,
            runs: self.ran.len() as u64,
            ..Findings::default()
        };
        let settings = self.plan.settings;
        let promised_ms = settings.horizon_ms.saturating_sub(settings.start_within_ms);
        for (index, (time, key, _)) in self.ran.iter().enumerate() {
            let is_double = |(earlier, other, _): &&(u64, KeyDigest, AttemptId)| {
                other == key && time - earlier < promised_ms
            };
            findings.doubles += u64::from(self.ran[..index].iter().any(|run| is_double(&run)));
        }
        for (attempt, told) in &self.told {
            self.judge_told(*attempt, told, &mut findings);
        }
        findings
    }

    fn judge_told(&self, attempt: AttemptId, told: &Told, findings: &mut Findings) {
        let key = self.keys[&attempt];
        let has_run = self.ran.iter().any(|(.., other)| *other == attempt);
        let runs: Vec<_> = self.ran.iter().filter(|(_, k, _)| *k == key).collect();
        match told {
            Told::Refused(verdict, reason) => {
                let is_false = *verdict == RunVerdict::NotRun && has_run;
                findings.false_not_run += u64::from(is_false);
                let is_false = *verdict == RunVerdict::Ran && runs.is_empty();
                findings.false_ran += u64::from(is_false);
                let is_needless = runs.is_empty() && *reason != GIVEN_UP;
                findings.needless += u64::from(is_needless);
                let by_log = is_needless && *reason == RefusalReason::ClaimUnavailable;
                findings.needless_log += u64::from(by_log);
            }
            Told::Answered(answer) => {
                findings.answers += 1;
                let is_answer_of = |(.., ran): &&&(u64, KeyDigest, AttemptId)| {
                    ran.as_u128().to_be_bytes()[..] == answer.body[..]
                };
                let is_right = runs.iter().any(|run| is_answer_of(&run));
                findings.wrong_answers += u64::from(!is_right);
            }
        }
    }
}
