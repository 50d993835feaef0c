/// The key of the team `clubs`.
pub(crate) const KEY: &str = "load-key-of-the-clubs";
/// The key of the team `wardens`.
pub(crate) const OTHER_KEY: &str = "load-key-of-the-wardens";

/// The contract of the measured fleet, in which `front` calls `deep`.
pub(crate) const CONTRACT: &str = r#"
[services.deep]
[services.deep.calls.read]
path = "/read"
method = "GET"
idempotent = true
deadline_ms = 1000
[services.deep.calls.upload]
path = "/upload"
method = "PUT"
idempotent = true
deadline_ms = 60000

[services.front]
depends_on = ["deep"]
[services.front.calls.read]
path = "/read"
method = "GET"
idempotent = true
deadline_ms = 1000

[teams.clubs]
rate_per_s = 100000
burst = 100000

[teams.wardens]
rate_per_s = 100
burst = 100
"#;

/// The settings of a VM: a backend server and its node.
#[derive(Clone, Debug)]
pub(crate) struct VmPlan {
    pub(crate) service: &'static str,
    pub(crate) slots: u32,
    /// The processing time of a request, in milliseconds.
    pub(crate) run_ms: u64,
    /// The path of the nested call that each request makes, if any.
    pub(crate) nested_path: Option<&'static str>,
}

impl VmPlan {
    /// Creates the settings of a VM whose backend server answers without delay.
    pub(crate) const fn new(service: &'static str) -> Self {
        Self {
            service,
            slots: 256,
            run_ms: 0,
            nested_path: None,
        }
    }
}
