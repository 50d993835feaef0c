use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use compio::runtime::{Runtime, spawn};
use compio::time::sleep;
use standin::{BackendCall, BackendServer, BackendSettings, LogServer};

use crate::fleet_plan::PairPlan;
use crate::load_error::LoadError;

/// The time between two looks at the run times that are asked for, in milliseconds.
const LOOK_MS: u64 = 10;

/// The stand-ins of the platform's log and of all backend servers, on a thread of their own.
pub(crate) struct StandinThread {
    pub(crate) log: SocketAddr,
    pub(crate) backends: Vec<SocketAddr>,
    run_ms: Arc<Vec<AtomicU64>>,
}

impl StandinThread {
    /// Starts the stand-ins; `egresses` are the egress addresses of the nodes.
    pub(crate) fn start(plans: &[PairPlan], egresses: &[SocketAddr]) -> Result<Self, LoadError> {
        let run_ms = plans.iter().map(|plan| AtomicU64::new(plan.run_ms));
        let run_ms = Arc::new(run_ms.collect::<Vec<_>>());
        let settings = plans.iter().zip(egresses).map(backend_settings).collect();
        let (sender, receiver) = mpsc::channel();
        let wanted = Arc::clone(&run_ms);
        std::thread::spawn(move || {
            let runtime = Runtime::new().expect("the system gives a loop");
            runtime.block_on(serve(settings, wanted, sender));
        });
        let (log, backends) = receiver.recv()?;
        Ok(Self {
            log,
            backends,
            run_ms,
        })
    }

    /// Sets the time that the requests of a backend server run, in milliseconds.
    pub(crate) fn set_run_ms(&self, backend: usize, run_ms: u64) {
        self.run_ms[backend].store(run_ms, Ordering::Relaxed);
    }
}

fn backend_settings((plan, egress): (&PairPlan, &SocketAddr)) -> BackendSettings {
    let calls = plan.calls.map(|path| BackendCall {
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
        sleep(Duration::from_millis(LOOK_MS)).await;
        for (backend, run_ms) in backends.iter().zip(run_ms.iter()) {
            backend.set_run_ms(run_ms.load(Ordering::Relaxed));
        }
    }
}
