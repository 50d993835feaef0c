use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use clock::ClockTime;
use model::ServiceName;

/// The longest time by which a report is taken to be held up, in milliseconds: several times the
/// time between two reports.
const LATE_REPORT_MS: u64 = 10_000;

/// The name that a backend server gives itself, new for most of its starts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
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

/// What a backend server tells of itself every now and then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReport {
    /// The backend server.
    pub backend: BackendName,
    /// The service that it offers.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// The wall-clock time of its start by its own clock, in milliseconds since 1970.
    pub born_ms: u64,
    /// A number that rises with each report of one start.
    pub sequence: u64,
    /// Whether it takes no new calls any more.
    pub is_leaving: bool,
    /// The requests that it runs at once.
    pub slots: u32,
}

/// One thing that a backend server says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendNotice {
    /// It lives.
    Report(BackendReport),
    /// It leaves for good.
    Gone(BackendName),
}

impl BackendNotice {
    /// Returns who says it.
    #[must_use]
    pub const fn backend(&self) -> &BackendName {
        match self {
            Self::Report(report) => &report.backend,
            Self::Gone(backend) => backend,
        }
    }

    /// Returns the number of the report, or 0 where there is none.
    #[must_use]
    pub const fn sequence(&self) -> u64 {
        match self {
            Self::Report(report) => report.sequence,
            Self::Gone(_) => 0,
        }
    }

    /// Returns when the sender started, in milliseconds since 1970, or 0 where it isn't said.
    #[must_use]
    pub const fn born_ms(&self) -> u64 {
        match self {
            Self::Report(report) => report.born_ms,
            Self::Gone(_) => 0,
        }
    }

    /// Returns whether the sender takes no new calls any more.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        match self {
            Self::Report(report) => report.is_leaving,
            Self::Gone(_) => true,
        }
    }
}

/// What a notice did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeOutcome {
    /// It says what was known.
    Known,
    /// A backend server has started.
    Started,
    /// The present backend server has changed its state.
    Changed,
    /// It is older than what is known.
    Late,
    /// It is about a backend server of another service or address.
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

/// Knows which backend server runs beside the node, and whether it takes new calls.
///
/// A report of an earlier start, or one that comes after a later one, changes nothing. One that
/// has said that it leaves stays so until another starts.
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
///     born_ms: 7,
///     sequence: 1,
///     is_leaving: false,
///     slots: 25,
/// };
/// watch.take(ClockTime::ZERO, &BackendNotice::Report(report));
/// assert_eq!(watch.open().map(BackendName::as_str), Some("i-1"));
/// watch.take(ClockTime::ZERO, &BackendNotice::Gone(BackendName::new("i-1")));
/// assert_eq!(watch.open(), None);
/// ```
#[derive(Clone, Debug)]
pub struct BackendWatch {
    service: ServiceName,
    address: SocketAddr,
    present: Option<PresentBackend>,
    /// One that left before it was heard of, and when.
    gone: Option<(BackendName, ClockTime)>,
}

/// The backend server that was heard of last.
#[derive(Clone, Debug)]
struct PresentBackend {
    backend: BackendName,
    born_ms: u64,
    sequence: u64,
    slots: u32,
    left_at: Option<ClockTime>,
}

impl BackendWatch {
    /// Creates a watch that knows of no backend server at an address yet.
    #[must_use]
    pub const fn new(service: ServiceName, address: SocketAddr) -> Self {
        Self {
            service,
            address,
            present: None,
            gone: None,
        }
    }

    /// Takes in a notice.
    pub fn take(&mut self, now: ClockTime, notice: &BackendNotice) -> NoticeOutcome {
        match notice {
            BackendNotice::Report(report) => self.take_report(now, report),
            BackendNotice::Gone(backend) => self.take_gone(now, backend),
        }
    }

    /// Returns the backend server that takes new calls, if one does.
    #[must_use]
    pub fn open(&self) -> Option<&BackendName> {
        let open = self.present.as_ref();
        let open = open.filter(|present| present.left_at.is_none());
        open.map(|present| &present.backend)
    }

    /// Returns the backend server that a call which was let in before may still be sent to: one
    /// that takes new calls, or has left less than `grace_ms` milliseconds ago.
    #[must_use]
    pub fn reachable(&self, now: ClockTime, grace_ms: u64) -> Option<&BackendName> {
        let present = self.present.as_ref()?;
        let is_in_time = |left_at: ClockTime| now.since_ms(left_at) < grace_ms;
        present
            .left_at
            .is_none_or(is_in_time)
            .then_some(&present.backend)
    }

    /// Returns the requests that the present backend server runs at once.
    #[must_use]
    pub fn slots(&self) -> Option<u32> {
        self.present.as_ref().map(|present| present.slots)
    }

    /// Forgets a backend server whose address another one has, until it is heard of again.
    pub fn forget(&mut self, backend: &str) {
        let _ = self
            .present
            .take_if(|present| present.backend.as_str() == backend && present.left_at.is_none());
    }

    fn take_report(&mut self, now: ClockTime, report: &BackendReport) -> NoticeOutcome {
        if report.service != self.service || report.address != self.address {
            return NoticeOutcome::Foreign;
        }
        let Some(present) = &mut self.present else {
            return self.begin(now, report);
        };
        let is_same = present.backend == report.backend && present.born_ms == report.born_ms;
        if !is_same {
            if report.born_ms < present.born_ms {
                return NoticeOutcome::Late;
            }
            return self.begin(now, report);
        }
        if report.sequence <= present.sequence {
            return NoticeOutcome::Late;
        }
        present.sequence = report.sequence;
        let is_resized = present.slots != report.slots;
        present.slots = report.slots;
        let leaves = report.is_leaving && present.left_at.is_none();
        if leaves {
            present.left_at = Some(now);
        }
        if leaves || is_resized {
            NoticeOutcome::Changed
        } else {
            NoticeOutcome::Known
        }
    }

    fn begin(&mut self, now: ClockTime, report: &BackendReport) -> NoticeOutcome {
        self.present = Some(PresentBackend {
            backend: report.backend.clone(),
            born_ms: report.born_ms,
            sequence: report.sequence,
            slots: report.slots,
            left_at: (report.is_leaving || self.is_gone(now, &report.backend)).then_some(now),
        });
        NoticeOutcome::Started
    }

    /// Returns whether a backend server has lately said that it leaves, so that a report of it is
    /// one that was held up.
    fn is_gone(&self, now: ClockTime, backend: &BackendName) -> bool {
        let gone = self.gone.as_ref();
        gone.is_some_and(|(name, at)| name == backend && now.since_ms(*at) < LATE_REPORT_MS)
    }

    fn take_gone(&mut self, now: ClockTime, backend: &BackendName) -> NoticeOutcome {
        let present = self.present.as_mut();
        let Some(present) = present.filter(|present| present.backend == *backend) else {
            self.gone = Some((backend.clone(), now));
            return NoticeOutcome::Late;
        };
        if present.left_at.is_some() {
            return NoticeOutcome::Known;
        }
        present.left_at = Some(now);
        NoticeOutcome::Changed
    }
}
