use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name};
use cell::{CreditAnswer, CreditAsk, Holding};
use futures::channel::oneshot;
use plat::{Vm, VmState};
use route::{Budget, Demand, Target, Targets, Tier};

/// Time for which slots count as short after a request has found none free.
const SHORTAGE: Millis = 2000;

/// The routing tables of the process.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) targets: Targets,
    pub(crate) demand: Demand,
    pub(crate) budget: Budget,
    pub(crate) urgent: VecDeque<oneshot::Sender<()>>,
    pub(crate) normal: VecDeque<oneshot::Sender<()>>,
    pub(crate) callers: BTreeMap<Name, usize>,
    pub(crate) running: u32,
    /// When a request last found no free slot, on the monotonic clock.
    pub(crate) short: Millis,
}

impl Router {
    pub(crate) fn open() -> Router {
        Router {
            targets: Targets::default(),
            demand: Demand::default(),
            budget: Budget::open(),
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
            callers: BTreeMap::new(),
            running: 0,
            short: 0,
        }
    }

    /// Notes how much is going on.
    pub(crate) fn note(&mut self, time: Millis) {
        let waiting = self.urgent.len() + self.normal.len();
        self.demand.note(time, self.running + waiting as u32);
    }

    /// Whether a request has lately found no free slot.
    pub(crate) fn starved(&self, time: Millis) -> bool {
        self.short > 0 && time < self.short + SHORTAGE || !self.targets.any()
    }

    /// Brings the targets up to date with the VM list.
    pub(crate) fn on_list(&mut self, vms: &[Vm], domain: &Name, region: &Name) {
        let table = &mut self.targets.table;
        // A server that has left the list is gone, and what it ran with it.
        table.retain(|id, _| vms.iter().any(|vm| vm.id == *id));
        for vm in vms {
            let tier = match (vm.domain == *domain, vm.region == *region) {
                (true, _) => Tier::Domain,
                (false, true) => Tier::Region,
                (false, false) => Tier::Far,
            };
            let cell = Name::from(format!("{}.{}", vm.domain, vm.rack));
            let fresh = || Target::open(vm.http, cell, tier);
            let target = table.entry(vm.id.clone()).or_insert_with(fresh);
            target.http = vm.http;
            target.leaving |= vm.state == VmState::Leaving;
        }
        for target in table.values_mut().filter(|t| t.leaving) {
            target.slots = target.inflight;
        }
        self.targets.refresh();
    }

    /// Takes in what a primary has granted, and gives idle slots back where
    /// others wait for them.
    pub(crate) fn on_credit(&mut self, ask: &CreditAsk, answer: &CreditAnswer) {
        for holding in &answer.grants {
            if let Some(target) = self.targets.table.get_mut(&holding.backend) {
                target.slots = holding.slots;
            }
        }
        for (id, target) in &mut self.targets.table {
            if target.cell != ask.cell {
                continue;
            }
            target.leaving = answer.leaving.contains(id);
            if target.leaving {
                target.slots = target.inflight;
            }
        }
        for (id, percent) in &answer.excess {
            if let Some(target) = self.targets.table.get_mut(id) {
                target.excess = f64::from(*percent) / 100.0;
            }
        }
        self.give_back(&ask.cell, answer.recall);
        self.targets.refresh();
        self.wake_all();
    }

    /// Slots held of a cell. Where they are of no use any more, the idle ones
    /// are given up first.
    pub(crate) fn holdings(&mut self, cell: &Name, unused: bool) -> Vec<Holding> {
        let mut holds = Vec::new();
        for (id, target) in self.targets.table.iter_mut().filter(|(_, t)| t.cell == *cell) {
            if unused {
                target.slots = target.inflight;
            }
            if target.slots > 0 {
                holds.push(Holding { backend: id.clone(), slots: target.slots });
            }
        }
        holds
    }

    fn give_back(&mut self, cell: &Name, mut recall: u32) {
        for target in self.targets.table.values_mut().filter(|t| t.cell == *cell) {
            let idle = target.slots.saturating_sub(target.inflight).min(recall);
            target.slots -= idle;
            recall -= idle;
        }
    }

    pub(crate) fn wake(&mut self) {
        while let Some(waiter) = self.urgent.pop_front().or_else(|| self.normal.pop_front()) {
            if waiter.send(()).is_ok() {
                return;
            }
        }
    }

    fn wake_all(&mut self) {
        let free: u32 = self
            .targets
            .table
            .values()
            .filter(|t| !t.leaving)
            .map(|t| t.slots.saturating_sub(t.inflight))
            .sum();
        (0..free).for_each(|_| self.wake());
    }
}
