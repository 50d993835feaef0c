use clock::ClockTime;

/// The largest difference between the deadline of a call and that of the request that it serves, in
/// milliseconds: both are sent in whole milliseconds, and arrive a fraction of a millisecond later.
const DEADLINE_TOLERANCE_MS: u64 = 3;

/// Finds the running request that a backend server's downstream call belongs to, if the call names
/// none.
///
/// Each running request comes with the deadline that its downstream call would have: the request's
/// own deadline, or its start plus the longest time allowed for the call. The request whose value is
/// nearest to the deadline of the call is returned. If several are within the tolerance, the result
/// may be wrong: it may be used to choose the class of a call, but must not consume anything of the
/// request, such as its retry allowance.
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
    let near = near.filter(|(distance, _)| *distance <= DEADLINE_TOLERANCE_MS);
    near.min_by_key(|(distance, _)| *distance)
        .map(|(_, call)| call)
}
