use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, ServiceName, VmName};
use serde::{Deserialize, Serialize};
use streams::LogOffset;

use crate::{MemberAnnouncement, MemberSettings, MemberState};

/// The announcements known before an offset of the members stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSnapshot {
    /// The offset of the first record that isn't part of it.
    pub covers: LogOffset,
    /// The announcements.
    pub members: Vec<MemberAnnouncement>,
}

/// The members of the fleet, as one node knows them.
///
/// An announcement lapses only by time during which the stream was followed: an outage of the
/// log, which keeps members from repeating theirs, drops nobody.
#[derive(Clone, Debug)]
pub struct MemberView {
    settings: MemberSettings,
    members: BTreeMap<VmName, KnownMember>,
    by_service: BTreeMap<ServiceName, Vec<VmName>>,
    suspects: BTreeMap<VmName, ClockTime>,
    followed_ms: u64,
    fresh_at: Option<ClockTime>,
}

#[derive(Clone, Debug)]
struct KnownMember {
    announcement: MemberAnnouncement,
    lapses_at_ms: u64,
}

impl MemberView {
    /// Creates a view without members.
    #[must_use]
    pub const fn new(settings: MemberSettings) -> Self {
        Self {
            settings,
            members: BTreeMap::new(),
            by_service: BTreeMap::new(),
            suspects: BTreeMap::new(),
            followed_ms: 0,
            fresh_at: None,
        }
    }

    /// Takes in an announcement, from the log or from a peer, and returns whether it was news.
    pub fn apply(&mut self, announcement: &MemberAnnouncement) -> bool {
        let known = self.members.get(&announcement.vm);
        if known.is_some_and(|known| !announcement.is_after(&known.announcement)) {
            return false;
        }
        if let Some(known) = known
            && known.announcement.service != announcement.service
        {
            let service = known.announcement.service.clone();
            self.forget_service(&service, &announcement.vm);
        }
        if announcement.state < MemberState::Leaving {
            self.forget_other_starts(&announcement.vm);
        }
        self.learn_service(announcement);
        let member = KnownMember {
            announcement: announcement.clone(),
            lapses_at_ms: self.followed_ms.saturating_add(announcement.valid_ms),
        };
        self.members.insert(announcement.vm.clone(), member);
        true
    }

    /// Drops what other starts of a node on the same machine announced: only one is alive.
    fn forget_other_starts(&mut self, vm: &VmName) {
        let is_other = |other: &VmName| other != vm && other.without_start() == vm.without_start();
        let others = self.members.iter().filter(|(other, _)| is_other(other));
        let others =
            others.map(|(other, known)| (other.clone(), known.announcement.service.clone()));
        for (other, service) in others.collect::<Vec<_>>() {
            self.members.remove(&other);
            self.suspects.remove(&other);
            self.forget_service(&service, &other);
        }
    }

    /// Takes in a snapshot from a peer, and returns whether it had news.
    pub fn adopt(&mut self, snapshot: &MemberSnapshot) -> bool {
        let news = snapshot.members.iter().filter(|member| self.apply(member));
        news.count() > 0
    }

    /// Returns a snapshot; `covers` is the offset that the stream was followed to.
    #[must_use]
    pub fn snapshot(&self, covers: LogOffset) -> MemberSnapshot {
        let members = self.members().cloned().collect();
        MemberSnapshot { covers, members }
    }

    /// Takes in up to when the stream was followed, and drops what has lapsed since.
    pub fn on_fresh(&mut self, fresh_at: ClockTime) {
        let step = self.fresh_at.map_or(0, |last| fresh_at.since_ms(last));
        self.fresh_at = self.fresh_at.max(Some(fresh_at));
        self.followed_ms += step.min(self.settings.max_step_ms);
        let followed = self.followed_ms;
        let lapsed = self
            .members
            .values()
            .filter(|known| known.lapses_at_ms <= followed);
        let lapsed: Vec<_> = lapsed.map(|known| known.announcement.clone()).collect();
        for announcement in lapsed {
            self.members.remove(&announcement.vm);
            self.suspects.remove(&announcement.vm);
            self.forget_service(&announcement.service, &announcement.vm);
        }
    }

    /// Takes in that the link to a VM broke or gave no answer.
    pub fn on_link_failure(&mut self, now: ClockTime, vm: &VmName) {
        if self.members.contains_key(vm) {
            self.suspects.insert(vm.clone(), now);
        }
    }

    /// Takes in that a VM answered on its link.
    pub fn on_link_success(&mut self, vm: &VmName) {
        self.suspects.remove(vm);
    }

    /// Returns whether the link to a VM failed lately and hasn't worked since.
    #[must_use]
    pub fn is_suspect(&self, now: ClockTime, vm: &VmName) -> bool {
        let failed = self.suspects.get(vm);
        failed.is_some_and(|time| now.since_ms(*time) < self.settings.suspect_ms)
    }

    /// Returns a member by the name of its VM.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&MemberAnnouncement> {
        self.members.get(vm).map(|known| &known.announcement)
    }

    /// Returns all members that haven't ended, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberAnnouncement> {
        let all = self.members.values().map(|known| &known.announcement);
        all.filter(|member| member.state != MemberState::Gone)
    }

    /// Returns the members of a service that take work, ordered by name.
    pub fn ready(&self, service: &ServiceName) -> impl Iterator<Item = &MemberAnnouncement> {
        let names = self.by_service.get(service).into_iter().flatten();
        let known = names.filter_map(|vm| self.get(vm));
        known.filter(|member| member.state == MemberState::Ready)
    }

    /// Returns the VMs of each data centre that take work, ordered by name.
    #[must_use]
    pub fn ready_by_centre(&self) -> BTreeMap<CentreName, Vec<VmName>> {
        self.ready_by_centre_of(|_| true)
    }

    /// Returns the VMs of each data centre whose nodes run and don't leave, ordered by name.
    #[must_use]
    pub fn live_by_centre(&self) -> BTreeMap<CentreName, Vec<VmName>> {
        by_centre(
            self.members()
                .filter(|member| member.state < MemberState::Leaving),
        )
    }

    /// Returns the VMs of each data centre that take work and are selected by their service.
    #[must_use]
    pub fn ready_by_centre_of(
        &self,
        is_selected: impl Fn(&ServiceName) -> bool,
    ) -> BTreeMap<CentreName, Vec<VmName>> {
        let is_ready = |member: &&MemberAnnouncement| member.state == MemberState::Ready;
        let ready = self.members().filter(is_ready);
        by_centre(ready.filter(|member| is_selected(&member.service)))
    }

    /// Returns the number of VMs known, also of those that have just ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no VM is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn learn_service(&mut self, announcement: &MemberAnnouncement) {
        if !self.by_service.contains_key(&announcement.service) {
            self.by_service
                .insert(announcement.service.clone(), Vec::new());
        }
        let names = self.by_service.get_mut(&announcement.service);
        let names = names.expect("the service was just put in");
        if let Err(place) = names.binary_search(&announcement.vm) {
            names.insert(place, announcement.vm.clone());
        }
    }

    fn forget_service(&mut self, service: &ServiceName, vm: &VmName) {
        if let Some(names) = self.by_service.get_mut(service) {
            names.retain(|name| name != vm);
            if names.is_empty() {
                self.by_service.remove(service);
            }
        }
    }
}

fn by_centre<'a>(
    members: impl Iterator<Item = &'a MemberAnnouncement>,
) -> BTreeMap<CentreName, Vec<VmName>> {
    let mut centres: BTreeMap<CentreName, Vec<VmName>> = BTreeMap::new();
    for member in members {
        let names = centres.entry(member.centre.clone()).or_default();
        names.push(member.vm.clone());
    }
    centres
}
