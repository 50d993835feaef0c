use contract::FleetContract;

/// The contract text of the demo.
pub(crate) const CONTRACT: &str = r#"# filings calls registry for each of its requests.
[services.registry]
[services.registry.calls.look-up]
method = "GET"
path = "/records"

[services.filings]
depends_on = ["registry"]
[services.filings.calls.read]
method = "GET"
path = "/records"
importance = "normal"
deadline_ms = 2000
[services.filings.calls.file]
method = "POST"
path = "/records"
importance = "critical"
deadline_ms = 2000
[services.filings.calls.charge]
method = "POST"
path = "/charges"
importance = "critical"
once = true
[services.filings.calls.status]
path = "/status"
open = true

[teams.clubs]
rate_per_s = 5000
burst = 5000
[teams.press]
rate_per_s = 10
burst = 20
"#;

/// The team that stays within its rate.
pub(crate) const STEADY_TEAM: &str = "clubs";
/// The team that exceeds its rate.
pub(crate) const OVER_RATE_TEAM: &str = "press";

/// Returns the largest number of requests that a team's rate and burst allow in a time span.
pub(crate) fn max_served(team: &str, span_ms: u64) -> u64 {
    let contract = FleetContract::parse("demo", CONTRACT).unwrap_or_default();
    let found = contract.teams.get(team);
    found.map_or(0, |team| {
        u64::from(team.burst) + u64::from(team.rate_per_s) * span_ms / 1_000
    })
}
