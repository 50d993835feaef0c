use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use compio::time::timeout;
use futures_util::future::select;
use log::LevelFilter;
use model::{RecordId, VmName};
use node::{AnswerLimits, NodeProcess, NodeSettings};
use platform::FileSettings;

use crate::args::NodeArgs;
use crate::command_error::CommandError;
use crate::commands::file_settings::{node_settings, open_log, read_file};
use crate::process_log::start_log;
use crate::process_signals::{SignalListener, SignalSource};
use crate::setting_error::SettingErrors;
use crate::setting_reader::SettingReader;

/// The interval of checks whether the settings file has changed.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Runs the sidecar node of a backend server until the process is signalled to stop.
pub(crate) async fn run_node(args: &NodeArgs) -> Result<(), CommandError> {
    // The process may be signalled as soon as it exists.
    let signals = SignalListener::install().map_err(CommandError::Signals)?;
    let mut reader = SettingReader::default();
    let file: Option<String> = reader.optional("settings", args.settings.as_deref());
    match file {
        Some(path) => run_with_file(args, &path, signals).await,
        None => run_with_options(args, signals).await,
    }
}

/// Runs a node that is configured by options and environment variables.
async fn run_with_options(args: &NodeArgs, signals: SignalListener) -> Result<(), CommandError> {
    let settings = read_settings(args)?;
    start_log(settings.log_level)?;
    let node = NodeProcess::start(settings.node).await?;
    run_until_stopped(node, &signals.stop).await;
    Ok(())
}

/// Runs a node that is configured by the platform's file.
async fn run_with_file(
    args: &NodeArgs,
    path: &str,
    signals: SignalListener,
) -> Result<(), CommandError> {
    let mut reader = SettingReader::default();
    let level = reader.optional("log-level", args.log_level.as_deref());
    let level = reader.finish(Some(level.unwrap_or(LevelFilter::Info)))?;
    let file = read_file(path)?;
    start_log(level)?;
    log::info!("event=settings-read file={path:?} settings={file:?}");
    let vm = vm_name_of_start(&file.machine);
    let log = open_log(&file)?;
    let node = NodeProcess::start_on(node_settings(&file, vm), log).await?;
    let SignalListener { stop, reload } = signals;
    compio::runtime::spawn(watch_file(path.to_owned(), file, reload)).detach();
    run_until_stopped(node, &stop).await;
    Ok(())
}

/// Reads the settings file again on `SIGHUP` and at a fixed interval, and logs changes.
///
/// A running node keeps the addresses and bounds that it was started with; changes take effect at the
/// next start.
async fn watch_file(path: String, mut last: FileSettings, reload: SignalSource) {
    loop {
        let _ = timeout(FILE_CHECK_INTERVAL, reload.wait()).await;
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

async fn run_until_stopped(node: NodeProcess, stop: &SignalSource) {
    log::info!(
        "event=node-started callers={} egress={} ingress={} admin={}",
        node.caller_address(),
        node.egress_address(),
        node.peer_address(),
        node.admin_address()
    );
    stop.wait().await;
    log::info!("event=node-stopping");
    select(pin!(node.stop()), pin!(log_repeated_stops(stop))).await;
    log::info!("event=node-stopped");
}

/// Logs the signals that ask a stopping node to stop.
async fn log_repeated_stops(stop: &SignalSource) {
    loop {
        stop.wait().await;
        log::info!("event=stop-signal-ignored reason=stopping");
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
    let head = reader.optional("answer-head-bytes", args.answer_head_bytes.as_deref());
    let interim = args.answer_interim_bytes.as_deref();
    let interim = reader.optional("answer-interim-bytes", interim);
    let body = reader.optional("answer-body-bytes", args.answer_body_bytes.as_deref());
    let log_level = reader.optional("log-level", args.log_level.as_deref());
    let base = NodeSettings::loopback(random_vm_name(), service?, secret?);
    let answers = AnswerLimits {
        head_bytes: head.unwrap_or(base.answers.head_bytes),
        interim_bytes: interim.unwrap_or(base.answers.interim_bytes),
        body_bytes: body.unwrap_or(base.answers.body_bytes),
    };
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
        answers,
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
