use clock::ClockTime;

/// How far the deadline of a call may lie from that of the request that it serves, in
/// milliseconds: both are passed on in whole milliseconds, and take a part of one to arrive.
const TOLERANCE_MS: u64 = 3;

/// Finds the running request that a backend server's call serves, where the call names none.
///
/// A call ends when the request that it serves does, or as long after that request's start as
/// such a call may last. So the running request for which that moment is nearest to the call's
/// end is taken. Where several are within the tolerance the guess may be wrong: it may decide on
/// the class of a call, but must not spend anything of the request.
///
/// # Examples
///
/// ```
/// use clock::ClockTime;
/// use lentilshift_graph::guess_parent;
///
/// let at = ClockTime::from_ms;
/// let running = [("early", at(1_000)), ("late", at(1_450))];
/// assert_eq!(guess_parent(running, at(1_451)), Some("late"));
/// assert_eq!(guess_parent(running, at(1_200)), None);
/// ```
pub fn guess_parent<R>(
    running: impl IntoIterator<Item = (R, ClockTime)>,
    deadline: ClockTime,
) -> Option<R> {
    let distance = |other: ClockTime| other.since_ms(deadline) + deadline.since_ms(other);
    let near = running.into_iter().map(|(call, end)| (distance(end), call));
    let near = near.filter(|(distance, _)| *distance <= TOLERANCE_MS);
    near.min_by_key(|(distance, _)| *distance)
        .map(|(_, call)| call)
}

/// When a call ends, and how long such calls may last.
#[derive(Clone, Copy, Debug)]
pub struct CallMoment {
    /// The present moment.
    pub now: ClockTime,
    /// The moment at which the call ends.
    pub end: ClockTime,
    /// The longest that such a call may last, in milliseconds.
    pub allowed_ms: u64,
}

/// A running request that may make a call.
#[derive(Clone, Copy, Debug)]
pub struct CallerCandidate<R> {
    /// The request.
    pub request: R,
    /// When it was started.
    pub started: ClockTime,
    /// When the calls of the same kind end that it has made; `None` before the first.
    pub calls_end: Option<ClockTime>,
    /// Whether requests of its kind are known to make such calls.
    pub makes_such: bool,
}

/// Finds the running request that made a call which ends before the request does.
///
/// Load pattern: calls with a short time of their own, one after the other. Their time counts from
/// when the request began to make them, so that all of one request end at the same moment, which
/// says nothing of the request's own end. A call that has nearly its whole time left is the first
/// of its request; a later one belongs to the request whose first call ends as it does. The first
/// is taken to be of the oldest request of a kind that makes such calls and hasn't yet. Where no
/// such kind is known, it is of the newest: requests that make none are the ones that have been
/// running for long without.
///
/// A wrong guess among requests of a kind keeps the mix of classes and teams, which is what work
/// is shed by.
pub fn guess_caller<R>(
    candidates: impl IntoIterator<Item = CallerCandidate<R>>,
    moment: CallMoment,
) -> Option<R> {
    let distance = |other: ClockTime| other.since_ms(moment.end) + moment.end.since_ms(other);
    let whole = moment.now.plus_ms(moment.allowed_ms);
    let is_first = distance(whole) <= TOLERANCE_MS;
    let fitting = candidates.into_iter().filter_map(|candidate| {
        let rank = match candidate.calls_end {
            Some(end) if distance(end) <= TOLERANCE_MS => 0,
            None if is_first && candidate.makes_such => 1,
            None if is_first => 2,
            _ => return None,
        };
        let off = candidate.calls_end.map_or(0, distance);
        let age_ms = moment.now.since_ms(candidate.started);
        let place = if candidate.makes_such {
            u64::MAX - age_ms
        } else {
            age_ms
        };
        Some(((rank, off, place), candidate.request))
    });
    fitting
        .min_by_key(|(key, _)| *key)
        .map(|(_, request)| request)
}
