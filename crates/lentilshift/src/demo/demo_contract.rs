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

/// The name of the team within its rate.
pub(crate) const STEADY_TEAM: &str = "clubs";
/// The name of the team that sends more than its rate.
pub(crate) const EAGER_TEAM: &str = "press";

/// Returns the most requests that a team may have had served after a time.
pub(crate) fn most_served(team: &str, span_ms: u64) -> u64 {
    let contract = FleetContract::parse("demo", CONTRACT).unwrap_or_default();
    let found = contract.teams.get(team);
    found.map_or(0, |team| {
        u64::from(team.burst) + u64::from(team.rate_per_s) * span_ms / 1_000
    })
}
