use std::collections::BTreeMap;

use clock::ClockTime;
use model::{CentreName, ServiceName, VmName};
use serde::{Deserialize, Serialize};
use streams::LogOffset;

use crate::{BackendDeparture, MemberAnnouncement, MemberSettings, MemberState};

/// The announcements up to an offset of the members stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSnapshot {
    /// The offset of the first record that is not included.
    pub covers: LogOffset,
    /// The announcements.
    pub members: Vec<MemberAnnouncement>,
    /// The departures of backend servers.
    #[serde(default)]
    pub departures: Vec<BackendDeparture>,
}

/// The time for which a departure is kept, in milliseconds: several times the longest delay of a
/// report of the backend server.
const DEPARTURE_VALID_MS: u64 = 60_000;

/// The members of the fleet, as known to one node.
///
/// An announcement expires only by time during which the stream was read: an outage of the log,
/// during which members cannot repeat theirs, removes no member.
#[derive(Clone, Debug)]
pub struct MemberView {
    settings: MemberSettings,
    members: BTreeMap<VmName, KnownMember>,
    by_service: BTreeMap<ServiceName, Vec<VmName>>,
    suspects: BTreeMap<VmName, ClockTime>,
    departures: Vec<KnownDeparture>,
    followed_ms: u64,
    read_until: Option<ClockTime>,
}

#[derive(Clone, Debug)]
struct KnownMember {
    announcement: MemberAnnouncement,
    expires_at_ms: u64,
}

#[derive(Clone, Debug)]
struct KnownDeparture {
    departure: BackendDeparture,
    expires_at_ms: u64,
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
            departures: Vec::new(),
            followed_ms: 0,
            read_until: None,
        }
    }

    /// Applies an announcement from the log or from a peer, and returns whether it was new.
    ///
    /// An announcement that no node can have made is ignored.
    pub fn apply(&mut self, announcement: &MemberAnnouncement) -> bool {
        if !announcement.is_plausible() {
            return false;
        }
        let known = self.members.get(&announcement.vm);
        if known.is_some_and(|known| !announcement.is_after(&known.announcement)) {
            return false;
        }
        if let Some(known) = known
            && known.announcement.service != announcement.service
        {
            let service = known.announcement.service.clone();
            self.unindex_service(&service, &announcement.vm);
        }
        if announcement.state < MemberState::Leaving {
            self.remove_other_starts(&announcement.vm);
        }
        self.index_service(announcement);
        let member = KnownMember {
            announcement: announcement.clone(),
            expires_at_ms: self.followed_ms.saturating_add(announcement.valid_ms),
        };
        self.members.insert(announcement.vm.clone(), member);
        true
    }

    /// Removes the announcements of other starts of a node on the same machine, as only one can be
    /// running.
    fn remove_other_starts(&mut self, vm: &VmName) {
        let is_other = |other: &VmName| other != vm && other.without_start() == vm.without_start();
        let others = self.members.iter().filter(|(other, _)| is_other(other));
        let others =
            others.map(|(other, known)| (other.clone(), known.announcement.service.clone()));
        for (other, service) in others.collect::<Vec<_>>() {
            self.members.remove(&other);
            self.suspects.remove(&other);
            self.unindex_service(&service, &other);
        }
    }

    /// Applies the departure of a backend server, unless no node can have written it.
    pub fn apply_departure(&mut self, departure: &BackendDeparture) {
        let mut known = self.departures.iter();
        if !departure.is_plausible() || known.any(|known| known.departure == *departure) {
            return;
        }
        self.departures.push(KnownDeparture {
            departure: departure.clone(),
            expires_at_ms: self.followed_ms.saturating_add(DEPARTURE_VALID_MS),
        });
    }

    /// Returns the departures of all backend servers.
    pub fn departures(&self) -> impl Iterator<Item = &BackendDeparture> {
        self.departures.iter().map(|known| &known.departure)
    }

    /// Returns the departures of the backend servers beside all processes of a node on a VM.
    pub fn departures_on(&self, vm: &VmName) -> impl Iterator<Item = &BackendDeparture> {
        let all = self.departures();
        all.filter(|departure| departure.vm.without_start() == vm.without_start())
    }

    /// Applies a snapshot from a peer, and returns whether it contained any new member.
    pub fn apply_snapshot(&mut self, snapshot: &MemberSnapshot) -> bool {
        for departure in &snapshot.departures {
            self.apply_departure(departure);
        }
        let updates = snapshot.members.iter().filter(|member| self.apply(member));
        updates.count() > 0
    }

    /// Returns a snapshot; `covers` is the offset up to which the stream was read.
    #[must_use]
    pub fn snapshot(&self, covers: LogOffset) -> MemberSnapshot {
        let members = self.members().cloned().collect();
        let departures = self.departures.iter();
        let departures = departures.map(|known| known.departure.clone()).collect();
        MemberSnapshot {
            covers,
            members,
            departures,
        }
    }

    /// Advances the time up to which the stream was read, and removes announcements that have
    /// expired.
    pub fn advance_to(&mut self, read_until: ClockTime) {
        let step = self.read_until.map_or(0, |last| read_until.since_ms(last));
        self.read_until = self.read_until.max(Some(read_until));
        self.followed_ms += step.min(self.settings.max_step_ms);
        let followed = self.followed_ms;
        self.departures
            .retain(|known| known.expires_at_ms > followed);
        let expired = self
            .members
            .values()
            .filter(|known| known.expires_at_ms <= followed);
        let expired: Vec<_> = expired.map(|known| known.announcement.clone()).collect();
        for announcement in expired {
            self.members.remove(&announcement.vm);
            self.suspects.remove(&announcement.vm);
            self.unindex_service(&announcement.service, &announcement.vm);
        }
    }

    /// Records that the link to a VM failed or timed out.
    pub fn on_link_failure(&mut self, now: ClockTime, vm: &VmName) {
        if self.members.contains_key(vm) {
            self.suspects.insert(vm.clone(), now);
        }
    }

    /// Records that a VM answered on its link.
    pub fn on_link_success(&mut self, vm: &VmName) {
        self.suspects.remove(vm);
    }

    /// Returns whether the link to a VM failed recently and has not worked since.
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

    /// Returns all members that have not stopped, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberAnnouncement> {
        let all = self.members.values().map(|known| &known.announcement);
        all.filter(|member| member.state != MemberState::Gone)
    }

    /// Returns the members of a service that accept work, ordered by name.
    pub fn ready(&self, service: &ServiceName) -> impl Iterator<Item = &MemberAnnouncement> {
        let names = self.by_service.get(service).into_iter().flatten();
        let known = names.filter_map(|vm| self.get(vm));
        known.filter(|member| member.state == MemberState::Ready)
    }

    /// Returns the VMs of each data centre that accept work, ordered by name.
    #[must_use]
    pub fn ready_by_centre(&self) -> BTreeMap<CentreName, Vec<VmName>> {
        self.ready_by_centre_where(|_| true)
    }

    /// Returns the VMs of each data centre whose nodes are running and not leaving, ordered by
    /// name.
    #[must_use]
    pub fn live_by_centre(&self) -> BTreeMap<CentreName, Vec<VmName>> {
        by_centre(
            self.members()
                .filter(|member| member.state < MemberState::Leaving),
        )
    }

    /// Returns the VMs of each data centre that accept work and whose service is selected.
    #[must_use]
    pub fn ready_by_centre_where(
        &self,
        is_selected: impl Fn(&ServiceName) -> bool,
    ) -> BTreeMap<CentreName, Vec<VmName>> {
        let is_ready = |member: &&MemberAnnouncement| member.state == MemberState::Ready;
        let ready = self.members().filter(is_ready);
        by_centre(ready.filter(|member| is_selected(&member.service)))
    }

    /// Returns the number of known VMs, including those that have just stopped.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no VM is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn index_service(&mut self, announcement: &MemberAnnouncement) {
        if !self.by_service.contains_key(&announcement.service) {
            self.by_service
                .insert(announcement.service.clone(), Vec::new());
        }
        let names = self.by_service.get_mut(&announcement.service);
        let names = names.expect("the service was inserted above");
        if let Err(position) = names.binary_search(&announcement.vm) {
            names.insert(position, announcement.vm.clone());
        }
    }

    fn unindex_service(&mut self, service: &ServiceName, vm: &VmName) {
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
