/// What an answer of a backend server says about the request rate that it accepts.
///
/// # Examples
///
/// ```
/// use lentilshift_limit::RateStatement;
///
/// assert_eq!(RateStatement::parse(["17.3"]), RateStatement::Limited(17.3));
/// assert_eq!(RateStatement::parse([]), RateStatement::Unlimited);
/// assert_eq!(RateStatement::parse(["fast"]), RateStatement::Unreadable);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// It states no rate.
    Unlimited,
    /// It states this many requests per second, summed over all callers.
    Limited(f64),
    /// It states something that isn't a rate.
    Unreadable,
}

impl RateStatement {
    /// Parses the values of the field that states the rate. If there are several rates, the lowest
    /// one counts.
    #[must_use]
    pub fn parse<'v>(values: impl IntoIterator<Item = &'v str>) -> Self {
        let mut statement = Self::Unlimited;
        for value in values {
            statement = match (statement, parse_rate(value.trim())) {
                (Self::Limited(lowest), Some(rate)) => Self::Limited(lowest.min(rate)),
                (Self::Limited(lowest), None) => Self::Limited(lowest),
                (_, Some(rate)) => Self::Limited(rate),
                (_, None) => Self::Unreadable,
            };
        }
        statement
    }
}

/// Parses a decimal number without a sign or an exponent.
fn parse_rate(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let rate = is_decimal.then(|| text.parse::<f64>().ok())?;
    rate.filter(|rate| rate.is_finite())
}
