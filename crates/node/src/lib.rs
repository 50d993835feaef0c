//! The node process beside each backend server.
//!
//! A node has three components, which share one thread and its event loop. The *entry* serves
//! callers: it checks the key, the team's rate and the deadline, and removes the key. The *egress*
//! serves the calls that the local backend server makes itself, and associates each with the
//! request that it belongs to. The *ingress* serves other nodes and runs calls on the backend
//! server. Other crates, which do no I/O, make the decisions; this crate does the I/O and runs
//! their timers.

mod admin_port;
mod ahead_buffer;
mod ahead_parser;
mod ahead_plan;
mod ahead_settings;
mod announce;
mod announcement_appender;
mod answer_body;
mod answer_check;
mod answer_deadline;
mod answer_limits;
mod answer_replay;
mod answer_stream;
mod attempt_guard;
mod attempt_query;
mod backend_pool;
mod backend_statement;
mod byte_count;
mod call_answer;
mod call_body;
mod call_headers;
mod caller_body;
mod caller_stream;
mod chain_admission;
mod change_notifier;
mod chunk_reader;
mod claim_state;
mod claim_watch;
mod client_budget;
mod client_settings;
mod client_watch;
mod close_watch;
mod config_state;
mod config_watch;
mod count_guard;
mod decision_waiters;
mod departure_log;
mod dispatch;
mod early_answers;
mod edge_settings;
mod egress;
mod entry;
mod entry_permit;
mod fleet_bounds;
mod fleet_watch;
mod held_answer;
mod http_answer;
mod http_body;
mod http_port;
mod ingress;
mod ingress_gate;
mod link_call;
mod link_slot;
mod load_metrics;
mod local_executor;
mod log_return;
mod node_clock;
mod node_core;
mod node_message;
mod node_metrics;
mod node_process;
mod node_settings;
mod peer_exchange;
mod peer_links;
mod peer_port;
mod problem_body;
mod rate_state;
mod rate_watch;
mod replay_body;
mod report_port;
mod request_ahead;
mod request_body;
mod resend_allowance;
mod route_guard;
mod run_guard;
mod running_calls;
mod sent_body;
mod stall_timer;
mod state_dump;
mod stop_signal;
mod stream_host;
mod suspect_watch;
mod task_loop;
mod unread_drop;
mod usage_report;
mod waiting_body;
mod warm_up_watch;

pub use ahead_parser::{BodyFraming, HeadFrame, HeadParse, has_head_end, parse_head, read_request};
pub use ahead_plan::{AheadPlan, RequestTurn};
pub use ahead_settings::AheadSettings;
pub use answer_limits::AnswerLimits;
pub use chunk_reader::{ChunkReader, ChunkStep};
pub use client_settings::ClientSettings;
pub use edge_settings::EdgeSettings;
pub use fleet_bounds::FleetBounds;
pub use node_process::{NodeError, NodeProcess};
pub use node_settings::{NodeSettings, ReportSettings};
pub use report_port::{NoticeError, NoticeReader};
pub use task_loop::{loop_rounds, run_loop};
