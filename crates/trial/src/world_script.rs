use route::LoadSample;

use crate::call::{CallResult, CallState};
use crate::event::TrialEvent;
use crate::workload::{WARM_MS, Workload};
use crate::world::{CLIENT_US, TICK_US, TrialWorld};

/// The speed of a slowed service.
pub(crate) const SLOW_SPEED: f64 = 0.2;
/// The speed of a backend server that has just started.
const COLD_SPEED: f64 = 0.1;
/// The time in which a cold backend server reaches full speed, in milliseconds.
const COLD_MS: u64 = 8_000;
/// The speed of a backend server that stays cold for a while.
const COLD_STEP_SPEED: f64 = 0.2;
/// The part of its announced slots that a thrashing backend server has.
pub(crate) const THRASH_SLOTS: f64 = 0.5;
/// The power of occupancy by which a thrashing backend server loses throughput.
const THRASH_POWER: f64 = 1.0;
/// The time after which nodes learn that VMs are gone, in microseconds.
const FORGET_US: u64 = 2_000_000;
/// The age that late reports reach, in microseconds.
const LATE_REPORT_US: u64 = 2_000_000;

impl TrialWorld {
    /// Does the periodic work of all nodes.
    pub(crate) fn tick(&mut self) {
        let now = self.now();
        for vm in 0..self.vms.len() {
            if !self.vms[vm].is_alive {
                continue;
            }
            let actions = self.vms[vm].ingress.tick(now);
            self.perform(vm, actions);
            for router in &mut self.vms[vm].routers {
                router.tick(now);
            }
        }
        match self.workload {
            Workload::ColdStarts | Workload::ColdSteps if self.is_strained => self.warm_up(),
            Workload::FalseReports => self.falsify(),
            _ => {}
        }
        self.events.push(self.now_us + TICK_US, TrialEvent::Tick);
    }

    pub(crate) fn start_strain(&mut self) {
        self.is_strained = true;
        match self.workload {
            Workload::SlowService => self.set_speed(self.scarcest, SLOW_SPEED),
            Workload::Thrashing => self.set_thrashing(THRASH_SLOTS, THRASH_POWER),
            Workload::ColdStarts | Workload::ColdSteps => self.restart_third(),
            Workload::VmsGone => self.kill_third(),
            _ => {}
        }
    }

    pub(crate) fn end_strain(&mut self) {
        if !self.workload.ends() {
            return;
        }
        self.is_strained = false;
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
                self.plan_work_end(vm);
            }
        }
    }

    fn set_thrashing(&mut self, slot_share: f64, power: f64) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].service == self.scarcest {
                let slots = f64::from(self.vms[vm].slots) * slot_share;
                self.vms[vm].backend.set_slots(self.now_us, slots);
                self.vms[vm].backend.set_thrash(self.now_us, power);
                self.plan_work_end(vm);
            }
        }
    }

    fn third(&self) -> impl Iterator<Item = usize> + use<> {
        (0..self.vms.len()).step_by(3)
    }

    fn restart_third(&mut self) {
        for vm in self.third() {
            self.vms[vm].ingress.reset();
            self.withdraw(vm);
            self.announce(vm);
        }
        self.warm_up();
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are small")]
    fn warm_up(&mut self) {
        let age_ms = (self.now_us / 1_000).saturating_sub(WARM_MS);
        let part = (age_ms as f64 / COLD_MS as f64).min(1.0);
        let speed = match self.workload {
            Workload::ColdSteps => COLD_STEP_SPEED,
            _ => COLD_SPEED + part * (1.0 - COLD_SPEED),
        };
        for vm in self.third() {
            self.vms[vm].backend.set_speed(self.now_us, speed);
            self.plan_work_end(vm);
        }
    }

    /// Lets a third of the VMs report no load, and another third an old one.
    fn falsify(&mut self) {
        let is_renewed = self.now_us % LATE_REPORT_US < TICK_US;
        for vm in 0..self.vms.len() {
            let false_sample = match vm % 3 {
                0 => Some(LoadSample {
                    in_flight: 0,
                    limit: self.vms[vm].announced,
                    queued: 0,
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
        for vm in self.third() {
            self.vms[vm].is_alive = false;
        }
        for call in 0..self.calls.len() {
            let entry = &self.calls[call];
            let is_placed = matches!(entry.state, CallState::Waiting | CallState::Running);
            if is_placed && !self.vms[entry.vm].is_alive {
                self.answer(call, CallResult::Failed);
            }
        }
        for client_try in 0..self.tries.len() {
            let tried = &self.tries[client_try];
            if !tried.is_over && !self.vms[tried.entry].is_alive {
                let event = TrialEvent::ClientAnswered(client_try, false, false);
                self.events.push(self.now_us + CLIENT_US, event);
            }
        }
        self.events
            .push(self.now_us + FORGET_US, TrialEvent::VmsForgotten);
    }

    pub(crate) fn forget_vms(&mut self) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].is_alive {
                continue;
            }
            self.vms[vm].is_known = false;
            self.withdraw(vm);
        }
    }

    /// Lets all nodes forget a VM.
    fn withdraw(&mut self, vm: usize) {
        let (name, service) = (self.vms[vm].name.clone(), self.vms[vm].service);
        for other in &mut self.vms {
            other.routers[service].remove(&name);
        }
    }
}
