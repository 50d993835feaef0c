//! Reconciles the attempts of a key at this node with the attempt that owns the key according to the
//! stream of claims.

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
        match self.owner(key).cloned() {
            None => self.reconcile_unowned(now, key, &attempts, actions),
            Some(owner) => {
                for attempt in attempts {
                    self.reconcile_owned(now, attempt, &owner, actions);
                }
            }
        }
    }

    /// Chooses one attempt of an unowned key, and makes the others wait for its outcome.
    ///
    /// An attempt that has already claimed the key is preferred; otherwise the chosen one claims it.
    fn reconcile_unowned(
        &mut self,
        now: ClockTime,
        key: KeyDigest,
        attempts: &[AttemptId],
        actions: &mut Vec<ClaimAction>,
    ) {
        let state_of = |attempt: &AttemptId| self.local.get(*attempt).map(|local| local.state);
        let has_claimed = |attempt: &&AttemptId| {
            matches!(
                state_of(attempt),
                Some(LocalState::Pending | LocalState::Won | LocalState::Running)
            )
        };
        let chosen = attempts
            .iter()
            .find(has_claimed)
            .or(attempts.first())
            .copied();
        let Some(chosen) = chosen.and_then(|attempt| self.local.get(attempt).copied()) else {
            return;
        };
        for attempt in attempts
            .iter()
            .filter(|other| **other != chosen.request.attempt)
        {
            self.join(now, *attempt, chosen.request.fingerprint, actions);
        }
        if matches!(chosen.state, LocalState::Won | LocalState::Running) {
            return;
        }
        let attempt = chosen.request.attempt;
        if chosen.state != LocalState::Pending {
            self.local.set_state(attempt, LocalState::Pending);
            let fingerprint = chosen.request.fingerprint;
            let entry = ClaimEntry::Claim {
                key,
                attempt,
                fingerprint,
            };
            self.outbox.push(now, &self.settings, entry);
        }
    }

    /// Runs an attempt that owns its key. Any other attempt waits for the outcome of the owner, or is
    /// refused if its request differs from the owner's.
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
