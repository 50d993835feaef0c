use std::net::SocketAddr;
use std::time::Duration;

use compio::signal::unix::signal;
use compio::time::timeout;
use futures_util::FutureExt;
use log::LevelFilter;
use model::{RecordId, VmName};
use node::{NodeProcess, NodeSettings};
use platform::FileSettings;

use crate::args::NodeArgs;
use crate::command_error::CommandError;
use crate::commands::file_settings::{node_settings, open_log, read_file};
use crate::process_log::start_log;
use crate::setting_error::SettingErrors;
use crate::setting_reader::SettingReader;

/// The signal to read the settings file again.
const SIGHUP: i32 = 1;
/// The signals to stop.
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// The interval of checks whether the settings file has changed.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Runs the sidecar node of a backend server until the process is signalled to stop.
pub(crate) async fn run_node(args: &NodeArgs) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let file: Option<String> = reader.optional("settings", args.settings.as_deref());
    match file {
        Some(path) => run_with_file(args, &path).await,
        None => run_with_options(args).await,
    }
}

/// Runs a node that is configured by options and environment variables.
async fn run_with_options(args: &NodeArgs) -> Result<(), CommandError> {
    let settings = read_settings(args)?;
    start_log(settings.log_level)?;
    let node = NodeProcess::start(settings.node).await?;
    run_until_stopped(node).await;
    Ok(())
}

/// Runs a node that is configured by the platform's file.
async fn run_with_file(args: &NodeArgs, path: &str) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let level = reader.optional("log-level", args.log_level.as_deref());
    let level = reader.finish(Some(level.unwrap_or(LevelFilter::Info)))?;
    let file = read_file(path)?;
    start_log(level)?;
    log::info!("event=settings-read file={path:?} settings={file:?}");
    let vm = vm_name_of_start(&file.machine);
    let log = open_log(&file)?;
    let node = NodeProcess::start_on(node_settings(&file, vm), log).await?;
    compio::runtime::spawn(watch_file(path.to_owned(), file)).detach();
    run_until_stopped(node).await;
    Ok(())
}

/// Reads the settings file again on `SIGHUP` and at a fixed interval, and logs changes.
///
/// A running node keeps the addresses and bounds that it was started with; changes take effect at the
/// next start.
async fn watch_file(path: String, mut last: FileSettings) {
    loop {
        let _ = timeout(FILE_CHECK_INTERVAL, signal(SIGHUP)).await;
        match read_file(&path) {
            Ok(file) if file == last => {}
            Ok(file) => {
                log::warn!("event=settings-changed takes-effect=next-start settings={file:?}");
                last = file;
            }
            Err(error) => log::error!("event=settings-unreadable error={:?}", error.to_string()),
        }
    }
}

async fn run_until_stopped(node: NodeProcess) {
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
}

/// Waits until the process is signalled to stop.
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

fn read_settings(args: &NodeArgs) -> Result<ProcessSettings, SettingErrors> {
    let mut reader = SettingReader::default();
    let settings = read_all(args, &mut reader);
    reader.finish(settings)
}

/// Reads every setting before it returns on a missing one, so that all errors are reported.
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
    let base = NodeSettings::loopback(random_vm_name(), service?, secret?);
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

/// Returns the VM name of this start of the node: the name of the machine and a random id.
fn vm_name_of_start(machine: &str) -> VmName {
    let id = RecordId::from_random(rand::random());
    let separator = VmName::START_SEPARATOR;
    VmName::new(format!("{machine}{separator}{id}"))
}

/// Returns a random VM name, which no other start of a node has.
fn random_vm_name() -> VmName {
    let id = RecordId::from_random(rand::random());
    VmName::new(format!("vm-{id}"))
}
