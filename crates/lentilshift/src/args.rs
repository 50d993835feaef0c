use gumdrop::Options;

/// Controls overload in service call graphs.
#[derive(Debug, Options)]
pub(crate) struct AppArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    #[options(command)]
    pub(crate) command: Option<AppCommand>,
}

/// The top-level commands.
#[expect(clippy::large_enum_variant, reason = "only one value per process")]
#[derive(Debug, Options)]
pub(crate) enum AppCommand {
    #[options(help = "run the sidecar node of a backend server")]
    Node(NodeArgs),
    #[options(help = "validate a contract text without connecting to the fleet")]
    Check(CheckArgs),
    #[options(help = "publish a contract text")]
    Publish(PublishArgs),
    #[options(help = "show the contract that is in force")]
    Show(ShowArgs),
    #[options(help = "grant and withdraw keys")]
    Key(KeyArgs),
    #[options(help = "send no more requests to the backend servers of a data centre")]
    Evacuate(EvacuateArgs),
    #[options(help = "show the state of a node")]
    Dump(DumpArgs),
    #[options(help = "run a small fleet in this process and show how it handles requests")]
    Demo(DemoArgs),
}

/// Runs the sidecar node of a backend server.
#[derive(Debug, Options)]
pub(crate) struct NodeArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        no_short,
        meta = "FILE",
        help = "the platform's settings file, instead of all other options"
    )]
    pub(crate) settings: Option<String>,
    #[options(no_short, meta = "NAME", help = "service of the backend server")]
    pub(crate) service: Option<String>,
    #[options(no_short, meta = "NAME", help = "data centre of this VM")]
    pub(crate) centre: Option<String>,
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "the backend server, such as 127.0.0.1:8080"
    )]
    pub(crate) backend: Option<String>,
    #[options(
        no_short,
        meta = "N",
        help = "requests that the backend server can run at once"
    )]
    pub(crate) slots: Option<String>,
    #[options(no_short, meta = "ADDRESS", help = "where callers connect")]
    pub(crate) callers: Option<String>,
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "where the backend server sends its own calls"
    )]
    pub(crate) egress: Option<String>,
    #[options(no_short, meta = "ADDRESS", help = "where other nodes connect")]
    pub(crate) ingress: Option<String>,
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "ingress address announced to other nodes, if different"
    )]
    pub(crate) advertise: Option<String>,
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "port for metrics, dump and readiness"
    )]
    pub(crate) admin: Option<String>,
    #[options(no_short, meta = "ADDRESS", help = "the platform's log")]
    pub(crate) platform: Option<String>,
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "a node to read state from when the log is down; repeatable"
    )]
    pub(crate) peer: Vec<String>,
    #[options(
        no_short,
        meta = "SECRET",
        help = "the fleet secret; prefer the environment variable"
    )]
    pub(crate) fleet_secret: Option<String>,
    #[options(
        no_short,
        meta = "MS",
        help = "longest time that a stop waits for running calls"
    )]
    pub(crate) stop_limit_ms: Option<String>,
    #[options(
        no_short,
        meta = "BYTES",
        help = "longest head, and longest trailers, of an answer"
    )]
    pub(crate) answer_head_bytes: Option<String>,
    #[options(
        no_short,
        meta = "BYTES",
        help = "most bytes of interim answers before an answer"
    )]
    pub(crate) answer_interim_bytes: Option<String>,
    #[options(no_short, meta = "BYTES", help = "longest body of an answer")]
    pub(crate) answer_body_bytes: Option<String>,
    #[options(
        no_short,
        meta = "LEVEL",
        help = "off, error, warn, info, debug or trace"
    )]
    pub(crate) log_level: Option<String>,
}

/// Validates a contract text and reports all errors, what it probably doesn't mean, and what differs
/// from another one.
#[derive(Debug, Options)]
pub(crate) struct CheckArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "FILE with the text, or - for standard input")]
    pub(crate) file: Option<String>,
    #[options(no_short, meta = "FILE", help = "show what differs from this text")]
    pub(crate) against: Option<String>,
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "the platform's log, to show what differs from the text in force"
    )]
    pub(crate) platform: Option<String>,
}

/// Publishes a contract text that is based on a given version.
#[derive(Debug, Options)]
pub(crate) struct PublishArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "FILE with the text, or - for standard input")]
    pub(crate) file: Option<String>,
    #[options(no_short, meta = "N", help = "version that the text is based on")]
    pub(crate) base: Option<String>,
    #[options(no_short, meta = "ADDRESS", help = "the platform's log")]
    pub(crate) platform: Option<String>,
}

/// Shows the contract that is in force.
#[derive(Debug, Options)]
pub(crate) struct ShowArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, meta = "ADDRESS", help = "the platform's log")]
    pub(crate) platform: Option<String>,
}

/// Grants and withdraws keys.
#[derive(Debug, Options)]
pub(crate) struct KeyArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<KeyCommand>,
}

/// The commands of `key`.
#[derive(Debug, Options)]
pub(crate) enum KeyCommand {
    #[options(help = "create a key for a team and print it once")]
    Grant(GrantArgs),
    #[options(help = "withdraw a key")]
    Withdraw(WithdrawArgs),
}

/// Creates a key for a team and prints it once, with its digest.
#[derive(Debug, Options)]
pub(crate) struct GrantArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "TEAM that the key is for")]
    pub(crate) team: Option<String>,
    #[options(no_short, meta = "ADDRESS", help = "the platform's log")]
    pub(crate) platform: Option<String>,
}

/// Withdraws the key with a given digest.
#[derive(Debug, Options)]
pub(crate) struct WithdrawArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "DIGEST of the key, as printed by key grant")]
    pub(crate) digest: Option<String>,
    #[options(no_short, meta = "ADDRESS", help = "the platform's log")]
    pub(crate) platform: Option<String>,
}

/// Begins or ends the evacuation of a data centre.
#[derive(Debug, Options)]
pub(crate) struct EvacuateArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "CENTRE to evacuate")]
    pub(crate) centre: Option<String>,
    #[options(no_short, help = "end the evacuation")]
    pub(crate) end: bool,
    #[options(no_short, meta = "ADDRESS", help = "the platform's log")]
    pub(crate) platform: Option<String>,
}

/// Shows the state of a node as JSON.
#[derive(Debug, Options)]
pub(crate) struct DumpArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "ADDRESS of the node's admin port")]
    pub(crate) address: Option<String>,
}

/// Runs a small fleet in this process and shows how it handles requests.
#[derive(Debug, Options)]
pub(crate) struct DemoArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "keep the fleet running until interrupted")]
    pub(crate) stay: bool,
}
