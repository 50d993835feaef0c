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
