use std::collections::BTreeMap;

use base::Name;

/// Workers for which one more VM of a failure domain becomes a relay.
const WORKERS_PER_RELAY: usize = 128;

/// A VM that may become a relay.
#[derive(Debug, Clone, PartialEq)]
pub struct Helper {
    /// Name of the VM.
    pub vm: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Effective CPU capacity, in thousandths of a core.
    pub capacity: u32,
    /// Number of workers assigned to it.
    pub workers: usize,
    /// Whether it gets about the CPU time that it was given.
    pub fit: bool,
}

/// Assigns workers without a relay to VMs of their failure domains, in proportion to the VMs'
/// CPU capacity. `unassigned` are the workers without a relay with their failure domain.
/// Returns the new workers of each VM.
pub fn assign(unassigned: &[(Name, Name)], helpers: &[Helper]) -> BTreeMap<Name, Vec<Name>> {
    let mut assigned: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    let mut by_domain: BTreeMap<&Name, Vec<&Name>> = BTreeMap::new();
    for (worker, domain) in unassigned {
        by_domain.entry(domain).or_default().push(worker);
    }
    for (domain, workers) in by_domain {
        let mut relays = relays(domain, workers.len(), helpers);
        for worker in workers {
            let least = relays.iter_mut().min_by(|a, b| a.load().total_cmp(&b.load()));
            let Some(relay) = least else { break };
            relay.workers += 1;
            assigned.entry(relay.vm.clone()).or_default().push(worker.clone());
        }
    }
    assigned
}

/// Returns the VMs of a failure domain that are relays or become one: those that are already
/// first, then those with the most CPU capacity.
fn relays(domain: &Name, unassigned: usize, helpers: &[Helper]) -> Vec<Helper> {
    let mut local: Vec<Helper> =
        helpers.iter().filter(|h| h.domain == *domain && h.fit).cloned().collect();
    let workers = unassigned + local.iter().map(|helper| helper.workers).sum::<usize>();
    local.sort_by_key(|h| (h.workers == 0, std::cmp::Reverse(h.capacity), h.vm.clone()));
    local.truncate(workers.div_ceil(WORKERS_PER_RELAY));
    local
}

impl Helper {
    /// Workers for each unit of capacity, with one more worker.
    fn load(&self) -> f64 {
        (self.workers + 1) as f64 / f64::from(self.capacity.max(1))
    }
}
