//! Routing state: targets, demand and the queues of waiting requests.

use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name};
use cell::{CreditAnswer, CreditAsk, Holding};
use futures::channel::oneshot;
use plat::{Vm, VmState};
use route::{Demand, RetryBudget, Target, Targets, Tier};

/// Time for which slots count as short after a request found none free, in ms.
const SHORTAGE_PERIOD: Millis = 2000;

/// Routing state of the process.
#[derive(Debug)]
pub(crate) struct Router {
    pub(crate) targets: Targets,
    pub(crate) demand: Demand,
    pub(crate) budget: RetryBudget,
    /// Urgent requests that wait for a slot, oldest first.
    pub(crate) urgent: VecDeque<oneshot::Sender<()>>,
    /// Other requests that wait for a slot, oldest first.
    pub(crate) normal: VecDeque<oneshot::Sender<()>>,
    /// Number of waiting requests, by caller.
    pub(crate) callers: BTreeMap<Name, usize>,
    /// Number of requests being served.
    pub(crate) running: u32,
    /// Time at which a request last found no free slot, on the monotonic clock. 0 if
    /// none has.
    pub(crate) shortage_at: Millis,
}

impl Router {
    /// Creates a router without targets.
    pub(crate) fn open() -> Router {
        Router {
            targets: Targets::default(),
            demand: Demand::default(),
            budget: RetryBudget::open(),
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
            callers: BTreeMap::new(),
            running: 0,
            shortage_at: 0,
        }
    }

    /// Records the number of running and waiting requests as demand.
    pub(crate) fn record_demand(&mut self, time: Millis) {
        let waiting = self.urgent.len() + self.normal.len();
        self.demand.record(time, self.running + waiting as u32);
    }

    /// Returns whether slots are short: a request recently found none free, or no
    /// target has any.
    pub(crate) fn starved(&self, time: Millis) -> bool {
        self.shortage_at > 0 && time < self.shortage_at + SHORTAGE_PERIOD
            || !self.targets.has_slots()
    }

    /// Updates the targets from the VM list.
    pub(crate) fn on_list(&mut self, vms: &[Vm], domain: &Name, region: &Name) {
        let table = &mut self.targets.by_id;
        // A server that has left the list is gone, together with the requests
        // that it ran.
        table.retain(|id, _| vms.iter().any(|vm| vm.id == *id));
        for vm in vms {
            let tier = match (vm.domain == *domain, vm.region == *region) {
                (true, _) => Tier::Domain,
                (false, true) => Tier::Region,
                (false, false) => Tier::Far,
            };
            let cell = Name::from(format!("{}.{}", vm.domain, vm.rack));
            let new_target = || Target::new(vm.http, cell, tier);
            let target = table.entry(vm.id.clone()).or_insert_with(new_target);
            target.http = vm.http;
            target.leaving |= vm.state == VmState::Leaving;
        }
        for target in table.values_mut().filter(|t| t.leaving) {
            target.slots = target.inflight;
        }
        self.targets.refresh();
    }

    /// Applies the slots that a primary has granted and releases the idle slots that
    /// it recalls for other routers.
    pub(crate) fn on_credit(&mut self, request: &CreditAsk, reply: &CreditAnswer) {
        for holding in &reply.grants {
            if let Some(target) = self.targets.by_id.get_mut(&holding.backend) {
                target.slots = holding.slots;
            }
        }
        for (id, target) in &mut self.targets.by_id {
            if target.cell != request.cell {
                continue;
            }
            target.leaving = reply.leaving.contains(id);
            if target.leaving {
                target.slots = target.inflight;
            }
        }
        for (id, percent) in &reply.excess {
            if let Some(target) = self.targets.by_id.get_mut(id) {
                target.excess = f64::from(*percent) / 100.0;
            }
        }
        self.release_idle(&request.cell, reply.recall);
        self.targets.refresh();
        self.wake_all();
    }

    /// Returns the slots held of a cell. If `unused` is set, idle slots are released
    /// first.
    pub(crate) fn holdings(&mut self, cell: &Name, unused: bool) -> Vec<Holding> {
        let mut holds = Vec::new();
        for (id, target) in self.targets.by_id.iter_mut().filter(|(_, t)| t.cell == *cell) {
            if unused {
                target.slots = target.inflight;
            }
            if target.slots > 0 {
                holds.push(Holding { backend: id.clone(), slots: target.slots });
            }
        }
        holds
    }

    /// Releases up to `recall` idle slots of a cell.
    fn release_idle(&mut self, cell: &Name, mut recall: u32) {
        for target in self.targets.by_id.values_mut().filter(|t| t.cell == *cell) {
            let idle = target.slots.saturating_sub(target.inflight).min(recall);
            target.slots -= idle;
            recall -= idle;
        }
    }

    /// Wakes the first waiting request, urgent ones first.
    pub(crate) fn wake_one(&mut self) {
        while let Some(waiter) = self.urgent.pop_front().or_else(|| self.normal.pop_front()) {
            if waiter.send(()).is_ok() {
                return;
            }
        }
    }

    /// Wakes one waiting request for each free slot.
    fn wake_all(&mut self) {
        let free: u32 = self
            .targets
            .by_id
            .values()
            .filter(|t| !t.leaving)
            .map(|t| t.slots.saturating_sub(t.inflight))
            .sum();
        (0..free).for_each(|_| self.wake_one());
    }
}
