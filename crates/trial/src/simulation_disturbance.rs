use route::LoadSample;

use crate::call::{CallResult, CallState};
use crate::event::SimulationEvent;
use crate::simulation::{CLIENT_DELAY_US, Simulation, TICK_US};
use crate::workload::{WARM_UP_MS, Workload};

/// The speed of the slow service, as a fraction of full speed.
pub(crate) const SLOW_SPEED: f64 = 0.2;
/// The speed of a backend server that has just started, as a fraction of full speed.
const COLD_SPEED: f64 = 0.1;
/// The time until a cold backend server reaches full speed, in milliseconds.
const COLD_RAMP_MS: u64 = 8_000;
/// The speed of a backend server that stays cold for the whole disturbance, as a fraction of full
/// speed.
const COLD_STEP_SPEED: f64 = 0.2;
/// The fraction of its announced slots that a thrashing backend server has.
pub(crate) const THRASH_SLOT_SHARE: f64 = 0.5;
/// How steeply the throughput of a thrashing backend server falls beyond its slots; see
/// `Backend::set_thrash_exponent`.
const THRASH_EXPONENT: f64 = 1.0;
/// The time after which nodes remove failed VMs from routing, in microseconds.
const REMOVAL_DELAY_US: u64 = 2_000_000;
/// The greatest age of late load reports, in microseconds.
const LATE_REPORT_AGE_US: u64 = 2_000_000;

impl Simulation {
    /// Runs the periodic tasks of all nodes.
    pub(crate) fn tick(&mut self) {
        let now = self.now();
        for vm in 0..self.vms.len() {
            if !self.vms[vm].is_alive {
                continue;
            }
            let actions = self.vms[vm].ingress.tick(now);
            self.apply_actions(vm, actions);
            for router in &mut self.vms[vm].routers {
                router.tick(now);
            }
        }
        match self.workload {
            Workload::ColdStarts | Workload::ColdSteps if self.is_disturbed => self.warm_backends(),
            Workload::FalseReports => self.falsify_reports(),
            Workload::UnevenHosts => {
                self.change_hosts();
                self.record_idle_slots();
            }
            _ => {}
        }
        self.events
            .push(self.now_us + TICK_US, SimulationEvent::Tick);
    }

    pub(crate) fn start_disturbance(&mut self) {
        self.is_disturbed = true;
        match self.workload {
            Workload::SlowService => self.set_speed(self.bottleneck, SLOW_SPEED),
            Workload::Thrashing => self.set_thrashing(THRASH_SLOT_SHARE, THRASH_EXPONENT),
            Workload::ColdStarts | Workload::ColdSteps => self.restart_third(),
            Workload::VmsGone => self.kill_third(),
            _ => {}
        }
    }

    pub(crate) fn end_disturbance(&mut self) {
        if !self.workload.is_temporary() {
            return;
        }
        self.is_disturbed = false;
        for service in 0..self.firm.services.len() {
            self.set_speed(service, 1.0);
        }
        if self.workload == Workload::Thrashing {
            self.set_thrashing(1.0, 0.0);
        }
    }

    fn set_speed(&mut self, service: usize, speed: f64) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].service == service {
                self.vms[vm].backend.set_speed(self.now_us, speed);
                self.schedule_work_end(vm);
            }
        }
    }

    fn set_thrashing(&mut self, slot_share: f64, exponent: f64) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].service == self.bottleneck {
                let slots = f64::from(self.vms[vm].slots) * slot_share;
                self.vms[vm].backend.set_slots(self.now_us, slots);
                self.vms[vm]
                    .backend
                    .set_thrash_exponent(self.now_us, exponent);
                self.schedule_work_end(vm);
            }
        }
    }

    fn every_third_vm(&self) -> impl Iterator<Item = usize> + use<> {
        (0..self.vms.len()).step_by(3)
    }

    fn restart_third(&mut self) {
        for vm in self.every_third_vm() {
            self.vms[vm].ingress.reset();
            self.remove_from_routers(vm);
            self.add_to_routers(vm);
        }
        self.warm_backends();
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are small")]
    fn warm_backends(&mut self) {
        let age_ms = (self.now_us / 1_000).saturating_sub(WARM_UP_MS);
        let ramp = (age_ms as f64 / COLD_RAMP_MS as f64).min(1.0);
        let speed = match self.workload {
            Workload::ColdSteps => COLD_STEP_SPEED,
            _ => COLD_SPEED + ramp * (1.0 - COLD_SPEED),
        };
        for vm in self.every_third_vm() {
            self.vms[vm].backend.set_speed(self.now_us, speed);
            self.schedule_work_end(vm);
        }
    }

    /// Makes a third of the VMs report no load and another third an outdated load.
    fn falsify_reports(&mut self) {
        let is_renewed = self.now_us % LATE_REPORT_AGE_US < TICK_US;
        for vm in 0..self.vms.len() {
            let false_sample = match vm % 3 {
                0 => Some(LoadSample {
                    in_flight: 0,
                    limit: self.vms[vm].announced_slots,
                    queued: 0,
                    ..LoadSample::default()
                }),
                1 if is_renewed => self.vms[vm]
                    .ingress
                    .report(self.now())
                    .map(|(sample, _)| sample),
                1 => self.vms[vm].false_sample,
                _ => None,
            };
            self.vms[vm].false_sample = false_sample;
        }
    }

    fn kill_third(&mut self) {
        for vm in self.every_third_vm() {
            self.vms[vm].is_alive = false;
        }
        for call in 0..self.calls.len() {
            let record = &self.calls[call];
            let is_at_vm = matches!(record.state, CallState::Waiting | CallState::Running);
            if is_at_vm && !self.vms[record.vm].is_alive {
                self.send_answer(call, CallResult::Failed);
            }
        }
        for client_attempt in 0..self.attempts.len() {
            let attempt = &self.attempts[client_attempt];
            if !attempt.is_finished && !self.vms[attempt.entry_vm].is_alive {
                let event = SimulationEvent::ClientAnswered(client_attempt, false, false);
                self.events.push(self.now_us + CLIENT_DELAY_US, event);
            }
        }
        self.events
            .push(self.now_us + REMOVAL_DELAY_US, SimulationEvent::VmsRemoved);
    }

    pub(crate) fn remove_dead_vms(&mut self) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].is_alive {
                continue;
            }
            self.vms[vm].is_known = false;
            self.remove_from_routers(vm);
        }
    }

    /// Removes a VM from the routers of all nodes.
    fn remove_from_routers(&mut self, vm: usize) {
        let (name, service) = (self.vms[vm].name.clone(), self.vms[vm].service);
        for other in &mut self.vms {
            other.routers[service].remove(&name);
        }
    }
}
