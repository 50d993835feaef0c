/// Converts milliseconds to a floating-point number.
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 ms")]
pub(crate) const fn to_f64(span_ms: u64) -> f64 {
    span_ms as f64
}

/// Converts to whole milliseconds, rounding down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans are never negative, and the cast saturates"
)]
pub(crate) const fn to_ms(span_ms: f64) -> u64 {
    span_ms as u64
}
