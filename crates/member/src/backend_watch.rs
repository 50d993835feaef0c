use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::ClockTime;
use model::ServiceName;
use serde::{Deserialize, Serialize};

use crate::DepartedBackend;

/// The longest delay assumed for a report, in milliseconds: several times the interval between two
/// reports.
pub const MAX_REPORT_DELAY_MS: u64 = 10_000;

/// The name that a backend server gives itself; usually a new one for each start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BackendName(Arc<str>);

impl BackendName {
    /// Creates a name.
    #[must_use]
    pub fn new(name: impl Into<Arc<str>>) -> Self {
        Self(name.into())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for BackendName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// The periodic report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReport {
    /// The backend server.
    pub backend: BackendName,
    /// The service that it provides.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// The wall-clock time at which it started by its own clock, in milliseconds since 1970.
    pub started_at_ms: u64,
    /// A number that increases with each report of one start.
    pub sequence: u64,
    /// Whether it accepts no new calls any more.
    pub is_leaving: bool,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// How much longer it is cold, in milliseconds, if it says so.
    pub cold_ms: Option<u64>,
}

/// A message from a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendNotice {
    /// The periodic report of a running backend server.
    Report(BackendReport),
    /// The backend server leaves for good.
    Gone(BackendName),
}

impl BackendNotice {
    /// Returns the sender.
    #[must_use]
    pub const fn backend(&self) -> &BackendName {
        match self {
            Self::Report(report) => &report.backend,
            Self::Gone(backend) => backend,
        }
    }

    /// Returns the sequence number of the report, or 0 if this is none.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        match self {
            Self::Report(report) => report.sequence,
            Self::Gone(_) => 0,
        }
    }

    /// Returns when the sender started, in milliseconds since 1970, or 0 if the notice does not
    /// contain it.
    #[must_use]
    pub const fn started_at_ms(&self) -> u64 {
        match self {
            Self::Report(report) => report.started_at_ms,
            Self::Gone(_) => 0,
        }
    }

    /// Returns how much longer the sender is cold, in milliseconds, if it says so.
    #[must_use]
    pub const fn cold_ms(&self) -> Option<u64> {
        match self {
            Self::Report(report) => report.cold_ms,
            Self::Gone(_) => None,
        }
    }

    /// Returns whether the sender accepts no new calls any more.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        match self {
            Self::Report(report) => report.is_leaving,
            Self::Gone(_) => true,
        }
    }
}

/// The effect of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeOutcome {
    /// It changes nothing.
    Known,
    /// A backend server has started.
    Started,
    /// The current backend server has changed its state or slots.
    Changed,
    /// It is outdated, or comes from a backend server that is not the current one.
    Late,
    /// It belongs to a backend server of another service or address.
    Foreign,
}

impl NoticeOutcome {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Started => "started",
            Self::Changed => "changed",
            Self::Late => "late",
            Self::Foreign => "foreign",
        }
    }
}

/// Tracks which backend server runs beside the node, and whether it accepts new calls.
///
/// A report of an earlier start, or one received after a later report, is ignored. A backend server
/// that has announced its departure counts as leaving until another start.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_member::{BackendName, BackendNotice, BackendReport, BackendWatch};
///
/// let address = "10.0.0.1:80".parse().unwrap();
/// let mut watch = BackendWatch::new("registry".into(), address);
/// let report = BackendReport {
///     backend: BackendName::new("i-1"),
///     service: "registry".into(),
///     address,
///     started_at_ms: 7,
///     sequence: 1,
///     is_leaving: false,
///     slots: 25,
///     cold_ms: None,
/// };
/// watch.apply(ClockTime::ZERO, &BackendNotice::Report(report));
/// assert_eq!(watch.accepting().map(BackendName::as_str), Some("i-1"));
/// watch.apply(ClockTime::ZERO, &BackendNotice::Gone(BackendName::new("i-1")));
/// assert_eq!(watch.accepting(), None);
/// ```
#[derive(Clone, Debug)]
pub struct BackendWatch {
    service: ServiceName,
    address: SocketAddr,
    current: Option<CurrentBackend>,
    /// A backend server that announced its departure before its first report, and when.
    departed: Option<(BackendName, ClockTime)>,
    /// The starts of backend servers that left while an earlier process of the node was running.
    former: Vec<DepartedBackend>,
}

/// The backend server of the latest start.
#[derive(Clone, Debug)]
struct CurrentBackend {
    backend: BackendName,
    started_at_ms: u64,
    sequence: u64,
    slots: u32,
    left_at: Option<ClockTime>,
}

impl BackendWatch {
    /// Creates a watch without a backend server, for a service and an address.
    #[must_use]
    pub const fn new(service: ServiceName, address: SocketAddr) -> Self {
        Self {
            service,
            address,
            current: None,
            departed: None,
            former: Vec::new(),
        }
    }

    /// Adds a departure that an earlier process of the node has confirmed.
    pub fn recall(&mut self, now: ClockTime, departure: DepartedBackend) {
        if departure.started_at_ms.is_none() {
            self.departed = Some((departure.backend, now));
        } else if !self.former.contains(&departure) {
            self.former.push(departure);
        }
    }

    /// Returns the departure of a backend server that has left during this process of the node.
    #[must_use]
    pub fn departure_of(&self, backend: &BackendName) -> Option<DepartedBackend> {
        let current = self.current.as_ref();
        if let Some(current) = current.filter(|current| current.backend == *backend) {
            let started_at_ms = Some(current.started_at_ms).filter(|started| *started > 0);
            return current.left_at.map(|_| DepartedBackend {
                backend: backend.clone(),
                started_at_ms,
            });
        }
        let departed = self.departed.as_ref();
        departed
            .filter(|(name, _)| name == backend)
            .map(|(name, _)| DepartedBackend {
                backend: name.clone(),
                started_at_ms: None,
            })
    }

    /// Applies a notice.
    pub fn apply(&mut self, now: ClockTime, notice: &BackendNotice) -> NoticeOutcome {
        match notice {
            BackendNotice::Report(report) => self.apply_report(now, report),
            BackendNotice::Gone(backend) => self.apply_gone(now, backend),
        }
    }

    /// Marks a backend server as leaving because it has said so in an answer, and returns whether
    /// that is new.
    pub fn mark_leaving(&mut self, now: ClockTime, backend: &BackendName) -> bool {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|current| current.backend == *backend) else {
            return false;
        };
        let is_new = current.left_at.is_none();
        current.left_at.get_or_insert(now);
        is_new
    }

    /// Returns the backend server that accepts new calls, if there is one.
    #[must_use]
    pub fn accepting(&self) -> Option<&BackendName> {
        let accepting = self.current.as_ref();
        let accepting = accepting.filter(|current| current.left_at.is_none());
        accepting.map(|current| &current.backend)
    }

    /// Returns the backend server that a call admitted earlier may still be sent to: one that
    /// accepts new calls or that started leaving less than `grace_ms` milliseconds ago.
    #[must_use]
    pub fn reachable(&self, now: ClockTime, grace_ms: u64) -> Option<&BackendName> {
        let current = self.current.as_ref()?;
        let is_in_time = |left_at: ClockTime| now.since_ms(left_at) < grace_ms;
        current
            .left_at
            .is_none_or(is_in_time)
            .then_some(&current.backend)
    }

    /// Returns the number of requests that the current backend server runs at once.
    #[must_use]
    pub fn slots(&self) -> Option<u32> {
        self.current.as_ref().map(|current| current.slots)
    }

    /// Removes the current backend server if it is `backend` and not leaving, since another one
    /// answered at its address. Its next report sets it again.
    pub fn forget(&mut self, backend: &str) {
        let _ = self
            .current
            .take_if(|current| current.backend.as_str() == backend && current.left_at.is_none());
    }

    fn apply_report(&mut self, now: ClockTime, report: &BackendReport) -> NoticeOutcome {
        if report.service != self.service || report.address != self.address {
            return NoticeOutcome::Foreign;
        }
        if self.has_departed(now, report) {
            return NoticeOutcome::Late;
        }
        let Some(current) = &mut self.current else {
            return self.set_current(now, report);
        };
        let is_same =
            current.backend == report.backend && current.started_at_ms == report.started_at_ms;
        if !is_same {
            if report.started_at_ms < current.started_at_ms {
                return NoticeOutcome::Late;
            }
            return self.set_current(now, report);
        }
        if report.sequence <= current.sequence {
            return NoticeOutcome::Late;
        }
        current.sequence = report.sequence;
        let has_new_slots = current.slots != report.slots;
        current.slots = report.slots;
        let leaves = report.is_leaving && current.left_at.is_none();
        if leaves {
            current.left_at = Some(now);
        }
        if leaves || has_new_slots {
            NoticeOutcome::Changed
        } else {
            NoticeOutcome::Known
        }
    }

    fn set_current(&mut self, now: ClockTime, report: &BackendReport) -> NoticeOutcome {
        self.current = Some(CurrentBackend {
            backend: report.backend.clone(),
            started_at_ms: report.started_at_ms,
            sequence: report.sequence,
            slots: report.slots,
            left_at: report.is_leaving.then_some(now),
        });
        NoticeOutcome::Started
    }

    /// Returns whether the backend server has left before this report of it arrived, so that the
    /// report is a delayed one.
    fn has_departed(&self, now: ClockTime, report: &BackendReport) -> bool {
        let is_recent = |(name, at): &(BackendName, ClockTime)| {
            *name == report.backend && now.since_ms(*at) < MAX_REPORT_DELAY_MS
        };
        let mut former = self.former.iter();
        self.departed.as_ref().is_some_and(is_recent)
            || former.any(|departure| departure.covers(&report.backend, report.started_at_ms))
    }

    fn apply_gone(&mut self, now: ClockTime, backend: &BackendName) -> NoticeOutcome {
        let current = self.current.as_mut();
        let Some(current) = current.filter(|current| current.backend == *backend) else {
            if !self
                .former
                .iter()
                .any(|departure| departure.backend == *backend)
            {
                self.departed = Some((backend.clone(), now));
            }
            return NoticeOutcome::Late;
        };
        if current.left_at.is_some() {
            return NoticeOutcome::Known;
        }
        current.left_at = Some(now);
        NoticeOutcome::Changed
    }
}
