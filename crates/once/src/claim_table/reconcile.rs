//! Updates the attempts of a key to match its owner.

use clock::ClockTime;
use model::{AttemptId, RunVerdict};

use super::ClaimTable;
use crate::local_attempts::LocalState;
use crate::{ClaimAction, ClaimEntry, HeldClaim, HolderReply, KeyDigest};

impl ClaimTable {
    /// Updates every attempt of a key at this node to match the owner of the key.
    pub(super) fn reconcile(
        &mut self,
        now: ClockTime,
        key: KeyDigest,
        actions: &mut Vec<ClaimAction>,
    ) {
        let attempts = self.local.of_key(key);
        match self.fold.owner(key).cloned() {
            None => self.reconcile_unowned(now, key, &attempts, actions),
            Some(owner) => {
                for attempt in attempts {
                    self.reconcile_owned(now, attempt, &owner, actions);
                }
            }
        }
    }

    fn reconcile_unowned(
        &mut self,
        now: ClockTime,
        key: KeyDigest,
        attempts: &[AttemptId],
        actions: &mut Vec<ClaimAction>,
    ) {
        let state_of = |attempt: &AttemptId| self.local.get(*attempt).map(|l| l.state);
        let is_first = |attempt: &&AttemptId| {
            matches!(
                state_of(attempt),
                Some(LocalState::Pending | LocalState::Won | LocalState::Running)
            )
        };
        let first = attempts.iter().find(is_first).or(attempts.first()).copied();
        let Some(first) = first.and_then(|attempt| self.local.get(attempt).copied()) else {
            return;
        };
        for attempt in attempts.iter().filter(|a| **a != first.request.attempt) {
            self.join(now, *attempt, first.request.fingerprint, actions);
        }
        if matches!(first.state, LocalState::Won | LocalState::Running) {
            return;
        }
        let attempt = first.request.attempt;
        if first.state != LocalState::Pending {
            self.local.set_state(attempt, LocalState::Pending);
            let fingerprint = first.request.fingerprint;
            let entry = ClaimEntry::Claim {
                key,
                attempt,
                fingerprint,
            };
            self.outbox.push(now, &self.settings, entry);
        }
    }

    fn reconcile_owned(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        owner: &HeldClaim,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(state) = self.local.get(attempt).map(|local| local.state) else {
            return;
        };
        if matches!(state, LocalState::Won | LocalState::Running) {
            return;
        }
        if owner.attempt == attempt {
            self.local.set_state(attempt, LocalState::Won);
            actions.push(ClaimAction::Run(attempt));
        } else if owner.vm == self.vm {
            self.join_local_owner(now, attempt, owner, actions);
        } else if !self.is_key_reuse(attempt, owner) {
            self.query_holder(now, attempt, owner, actions);
        } else {
            self.refuse_key_reuse(now, attempt, actions);
        }
    }

    /// Handles a duplicate whose key is owned by another attempt at this node.
    fn join_local_owner(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        owner: &HeldClaim,
        actions: &mut Vec<ClaimAction>,
    ) {
        if self.is_key_reuse(attempt, owner) {
            self.refuse_key_reuse(now, attempt, actions);
            return;
        }
        let reply = self.reply_for(owner.attempt);
        if !self.end_by_reply(now, attempt, reply, actions) {
            self.local.set_state(attempt, LocalState::Joined);
        }
    }

    /// Ends an attempt according to the outcome of the attempt that owns its key. Returns `false`
    /// while there is no outcome.
    pub(super) fn end_by_reply(
        &mut self,
        now: ClockTime,
        attempt: AttemptId,
        reply: HolderReply,
        actions: &mut Vec<ClaimAction>,
    ) -> bool {
        let verdict = match reply {
            HolderReply::Running | HolderReply::NotRun => return false,
            HolderReply::Answer(answer) => {
                self.answer(now, attempt, answer, actions);
                return true;
            }
            HolderReply::Ran => RunVerdict::Ran,
            HolderReply::MayHaveRun => RunVerdict::MayHaveRun,
        };
        self.refuse_as_duplicate(now, attempt, verdict, actions);
        true
    }
}
