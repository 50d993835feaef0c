//! Compares the outcomes reported to callers with what the backend servers ran.

use super::{GIVEN_UP, Reported, Simulation};
use lentilshift_once::KeyDigest;
use model::{AttemptId, RefusalReason, RunVerdict};

#[derive(Clone, Debug, Default)]
pub struct Findings {
    pub calls: u64,
    pub runs: u64,
    pub double_runs: u64,
    pub false_not_run: u64,
    pub false_ran: u64,
    pub wrong_answers: u64,
    pub answers: u64,
    /// Calls refused though no attempt of their key ever ran.
    pub avoidable: u64,
    /// Those of them that were refused because the log was unavailable.
    pub avoidable_log: u64,
}

impl Findings {
    pub fn faults(&self) -> u64 {
        self.double_runs + self.false_not_run + self.false_ran + self.wrong_answers
    }

    pub fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.runs += other.runs;
        self.double_runs += other.double_runs;
        self.false_not_run += other.false_not_run;
        self.false_ran += other.false_ran;
        self.wrong_answers += other.wrong_answers;
        self.answers += other.answers;
        self.avoidable += other.avoidable;
        self.avoidable_log += other.avoidable_log;
    }
}

impl<D> Simulation<D> {
    pub(super) fn evaluate(&self) -> Findings {
        let mut findings = Findings {
            calls: self.keys.len() as u64,
            runs: self.ran.len() as u64,
            ..Findings::default()
        };
        let settings = self.plan.settings;
        let guaranteed_ms = settings.horizon_ms.saturating_sub(settings.start_within_ms);
        for (index, (time, key, _)) in self.ran.iter().enumerate() {
            let is_double_run = |(earlier, other, _): &&(u64, KeyDigest, AttemptId)| {
                other == key && time - earlier < guaranteed_ms
            };
            findings.double_runs +=
                u64::from(self.ran[..index].iter().any(|run| is_double_run(&run)));
        }
        for (attempt, reported) in &self.reported {
            self.check_report(*attempt, reported, &mut findings);
        }
        findings
    }

    fn check_report(&self, attempt: AttemptId, reported: &Reported, findings: &mut Findings) {
        let key = self.keys[&attempt];
        let has_run = self.ran.iter().any(|(.., other)| *other == attempt);
        let runs: Vec<_> = self.ran.iter().filter(|(_, k, _)| *k == key).collect();
        match reported {
            Reported::Refused(verdict, reason) => {
                let is_false = *verdict == RunVerdict::NotRun && has_run;
                findings.false_not_run += u64::from(is_false);
                let is_false = *verdict == RunVerdict::Ran && runs.is_empty();
                findings.false_ran += u64::from(is_false);
                let is_avoidable = runs.is_empty() && *reason != GIVEN_UP;
                findings.avoidable += u64::from(is_avoidable);
                let by_log = is_avoidable && *reason == RefusalReason::ClaimUnavailable;
                findings.avoidable_log += u64::from(by_log);
            }
            Reported::Answered(answer) => {
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
