/// The greatest count that is taken from a backend server's statement.
const MAX_COUNT: u32 = 1_000_000;
/// The bounds of the slowness that is taken from a backend server's statement, in percent.
const SLOWNESS_BOUNDS: (u32, u32) = (1, 10_000);

/// The load that a backend server states in an answer.
///
/// # Examples
///
/// ```
/// use lentilshift_limit::BackendLoad;
///
/// let load = BackendLoad::parse("3,0,8,250").unwrap();
/// assert_eq!((load.running, load.slots, load.slowness), (3, 8, 250));
/// assert_eq!(BackendLoad::parse("3,0,8").unwrap().slowness, 0);
/// assert_eq!(BackendLoad::parse("3,none"), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// The requests that are running.
    pub running: u32,
    /// The requests that are waiting.
    pub waiting: u32,
    /// The requests that can run at once.
    pub slots: u32,
    /// How long work takes on the host now, in percent of the usual; 0 if it isn't stated.
    pub slowness: u16,
}

impl BackendLoad {
    /// Parses three or four decimal numbers that are separated by commas, or returns `None`.
    ///
    /// Numbers out of bounds are replaced by the bound.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(|figure| parse_count(figure.trim()));
        let (running, waiting, slots) = (figures.next()??, figures.next()??, figures.next()??);
        let slowness = match figures.next() {
            None => 0,
            Some(slowness) => slowness?.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1),
        };
        figures.next().is_none().then_some(Self {
            running,
            waiting,
            slots,
            slowness: u16::try_from(slowness).unwrap_or(u16::MAX),
        })
    }
}

/// Parses a decimal number without a sign, at most the greatest count.
fn parse_count(text: &str) -> Option<u32> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().unwrap_or(MAX_COUNT).min(MAX_COUNT))
}
