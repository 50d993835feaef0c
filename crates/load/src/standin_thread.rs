use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use compio::runtime::{Runtime, spawn};
use compio::time::sleep;
use standin::{BackendCall, BackendServer, BackendSettings, LogServer};

use crate::fleet_plan::VmPlan;
use crate::load_error::LoadError;

/// The interval at which the thread reads the requested run times, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 10;

/// The stand-ins for the platform log and for all backend servers, on a separate thread.
pub(crate) struct StandinThread {
    pub(crate) log: SocketAddr,
    pub(crate) backends: Vec<SocketAddr>,
    run_ms: Arc<Vec<AtomicU64>>,
}

impl StandinThread {
    /// Starts the stand-ins; `egresses` are the egress addresses of the nodes, one per plan.
    pub(crate) fn start(plans: &[VmPlan], egresses: &[SocketAddr]) -> Result<Self, LoadError> {
        let run_ms = plans.iter().map(|plan| AtomicU64::new(plan.run_ms));
        let run_ms = Arc::new(run_ms.collect::<Vec<_>>());
        let settings = plans.iter().zip(egresses).map(backend_settings).collect();
        let (sender, receiver) = mpsc::channel();
        let thread_run_ms = Arc::clone(&run_ms);
        std::thread::spawn(move || {
            let runtime = Runtime::new().expect("the system provides an event loop");
            runtime.block_on(serve(settings, thread_run_ms, sender));
        });
        let (log, backends) = receiver.recv()?;
        Ok(Self {
            log,
            backends,
            run_ms,
        })
    }

    /// Sets the processing time of requests at a backend server, in milliseconds.
    pub(crate) fn set_run_ms(&self, backend: usize, run_ms: u64) {
        self.run_ms[backend].store(run_ms, Ordering::Relaxed);
    }
}

fn backend_settings((plan, egress): (&VmPlan, &SocketAddr)) -> BackendSettings {
    let calls = plan.nested_path.map(|path| BackendCall {
        method: http::Method::GET,
        path: path.into(),
    });
    BackendSettings {
        service: plan.service.into(),
        run_ms: plan.run_ms,
        egress: Some(*egress),
        calls: calls.into_iter().collect(),
        ..BackendSettings::default()
    }
}

async fn serve(
    settings: Vec<BackendSettings>,
    run_ms: Arc<Vec<AtomicU64>>,
    started: mpsc::Sender<(SocketAddr, Vec<SocketAddr>)>,
) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = LogServer::bind(any_port).await.expect("a port is free");
    let log_address = log.addr().expect("a bound port has an address");
    spawn(log.run()).detach();
    let mut backends = Vec::new();
    for settings in settings {
        let backend = BackendServer::start(settings).await;
        backends.push(backend.expect("a port is free"));
    }
    let addresses = backends.iter().map(|backend| backend.address()).collect();
    let _ = started.send((log_address, addresses));
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        for (backend, run_ms) in backends.iter().zip(run_ms.iter()) {
            backend.set_run_ms(run_ms.load(Ordering::Relaxed));
        }
    }
}
