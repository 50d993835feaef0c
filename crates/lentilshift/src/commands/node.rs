use std::net::SocketAddr;

use compio::signal::unix::signal;
use futures_util::FutureExt;
use log::LevelFilter;
use model::{RecordId, VmName};
use node::{NodeProcess, NodeSettings};

use crate::args::NodeArgs;
use crate::command_error::CommandError;
use crate::process_log::start_log;
use crate::setting_fault::SettingFaults;
use crate::setting_reader::SettingReader;

/// The numbers of the signals that ask a process to stop.
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Runs the node beside a backend server until it is asked to stop.
pub(crate) async fn run_node(args: &NodeArgs) -> Result<(), CommandError> {
    let settings = read_settings(args)?;
    start_log(settings.log_level)?;
    let node = NodeProcess::start(settings.node).await?;
    log::info!(
        "event=node-started callers={} egress={} ingress={} admin={}",
        node.caller_address(),
        node.egress_address(),
        node.peer_address(),
        node.admin_address()
    );
    wait_for_stop().await;
    log::info!("event=node-stopping");
    node.stop().await;
    log::info!("event=node-stopped");
    Ok(())
}

/// Waits until the process is asked to stop.
pub(crate) async fn wait_for_stop() {
    let interrupt = signal(SIGINT).fuse();
    let terminate = signal(SIGTERM).fuse();
    futures_util::pin_mut!(interrupt, terminate);
    futures_util::select! {
        _ = interrupt => (),
        _ = terminate => (),
    }
}

/// The settings of the process.
struct ProcessSettings {
    node: NodeSettings,
    log_level: LevelFilter,
}

fn read_settings(args: &NodeArgs) -> Result<ProcessSettings, SettingFaults> {
    let mut reader = SettingReader::default();
    let settings = read_all(args, &mut reader);
    reader.finish(settings)
}

/// Reads every setting before it gives up on one, so that all faults are found.
fn read_all(args: &NodeArgs, reader: &mut SettingReader) -> Option<ProcessSettings> {
    let service = reader.required("service", args.service.as_deref());
    let centre = reader.required("centre", args.centre.as_deref());
    let backend = reader.required("backend", args.backend.as_deref());
    let slots = reader.optional("slots", args.slots.as_deref());
    let callers = reader.required("callers", args.callers.as_deref());
    let egress = reader.required("egress", args.egress.as_deref());
    let ingress = reader.required("ingress", args.ingress.as_deref());
    let advertise: Option<SocketAddr> = reader.optional("advertise", args.advertise.as_deref());
    let admin = reader.required("admin", args.admin.as_deref());
    let platform = reader.required("platform", args.platform.as_deref());
    let peers = reader.list("peer", &args.peer);
    let secret = reader.required("fleet-secret", args.fleet_secret.as_deref());
    let stop_limit_ms = reader.optional("stop-limit-ms", args.stop_limit_ms.as_deref());
    let log_level = reader.optional("log-level", args.log_level.as_deref());
    let base = NodeSettings::loopback(new_vm_name(), service?, secret?);
    let node = NodeSettings {
        centre: centre?,
        caller_address: callers?,
        egress_address: egress?,
        peer_address: ingress?,
        advertised_address: advertise,
        admin_address: admin?,
        backend_address: backend?,
        backend_slots: slots.unwrap_or(base.backend_slots),
        platform_address: platform?,
        peers,
        stop_limit_ms: stop_limit_ms.unwrap_or(base.stop_limit_ms),
        ..base
    };
    let log_level = log_level.unwrap_or(LevelFilter::Info);
    Some(ProcessSettings { node, log_level })
}

/// Returns a name that no earlier start of a node has had.
fn new_vm_name() -> VmName {
    let id = RecordId::from_random(rand::random());
    VmName::new(format!("vm-{id}"))
}
