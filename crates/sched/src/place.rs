use std::collections::BTreeMap;

use base::{Millis, Name, Size};
use cell::{Job, ServerState};

use crate::View;

/// Minimum time between the expected end of a task and the return of its VM, in
/// milliseconds. It covers the eviction of tasks before the return.
const RETURN_MARGIN: Millis = 60_000;
/// Weight of interference with the service, relative to that among tasks.
const SERVICE_WEIGHT: f64 = 4.0;
/// Excess service time, as a fraction, above which a kind counts as noisy.
const NOISY_EXCESS: f64 = 0.05;

/// Free capacity of the servers of a cell.
pub(crate) struct Capacity {
    /// Servers that accept tasks, by VM identifier.
    by_server: BTreeMap<Name, ServerCapacity>,
    /// Maximum of `sizes` in each resource.
    largest: Size,
    /// Sizes of all servers that are not gone, less the reserve of the services.
    sizes: Vec<Size>,
}

struct ServerCapacity {
    free: Size,
    size: Size,
    /// When the VM is returned, in Unix milliseconds.
    until: Option<Millis>,
    /// Kinds of the tasks on the server, one entry for each task.
    kinds: Vec<Name>,
}

/// The server chosen for a task, and why.
pub(crate) struct Choice {
    pub(crate) backend: Name,
    pub(crate) candidates: usize,
    pub(crate) why: String,
}

impl Capacity {
    pub(crate) fn new(view: &View<'_>) -> Capacity {
        let reserve = view.document.reserve();
        let committed = view.table.commitments();
        let mut by_server = BTreeMap::new();
        let mut sizes = Vec::new();
        for server in view.servers.values() {
            if server.state != ServerState::Gone {
                sizes.push(server.size.minus(reserve));
            }
            let quarantined = view.policy.quarantine && view.now.mono < server.shunned;
            if !server.usable(view.now.unix) || quarantined {
                continue;
            }
            let held = committed.get(&server.id).copied().unwrap_or_default();
            let taken = held.plus(server.foreign).plus(reserve);
            let free = server.size.minus(taken);
            let entry =
                ServerCapacity { free, size: server.size, until: server.until, kinds: Vec::new() };
            by_server.insert(server.id.clone(), entry);
        }
        for task in view.table.tasks.values() {
            let Some(entry) = task.backend().and_then(|b| by_server.get_mut(b)) else { continue };
            if let Some(job) = view.table.job(task) {
                entry.kinds.push(job.kind.clone());
            }
        }
        let largest = sizes.iter().fold(Size::ZERO, |l, s| Size {
            cpu: l.cpu.max(s.cpu),
            memory: l.memory.max(s.memory),
            accel: l.accel.max(s.accel),
        });
        Capacity { by_server, largest, sizes }
    }

    /// Returns why no server of the cell can hold `size` even when empty, or `None`
    /// if one can or no server is known.
    pub(crate) fn unplaceable(&self, size: Size) -> Option<String> {
        if self.sizes.is_empty() || self.sizes.iter().any(|s| size.fits(*s)) {
            return None;
        }
        Some(format!("needs {size}, no server of the cell offers more than {}", self.largest))
    }

    /// Returns the best server for a task of `job`, leaving out those for which
    /// `excluded` is true.
    pub(crate) fn choose(
        &self,
        view: &View<'_>,
        job: &Job,
        excluded: &dyn Fn(&Name) -> bool,
    ) -> Option<Choice> {
        let end = view.now.unix + view.estimates.expected_runtime(&job.kind, job.work);
        let ends_in_time = |server: &ServerCapacity| {
            let return_at = server.until.filter(|_| view.policy.return_times);
            return_at.is_none_or(|until| end + RETURN_MARGIN <= until)
        };
        let fits = |(id, server): &(&Name, &ServerCapacity)| {
            job.size.fits(server.free) && ends_in_time(server) && !excluded(id)
        };
        let mut feasible = self.by_server.iter().filter(fits);
        if !view.policy.interference {
            let (backend, _) = feasible.next()?;
            return Some(Choice {
                backend: backend.clone(),
                candidates: self.by_server.len(),
                why: "first fit".to_owned(),
            });
        }
        let scored = feasible.map(|(id, server)| (id, cost(view, job, server)));
        let mut candidates = 0;
        let best = scored.inspect(|_| candidates += 1).min_by(|a, b| a.1.total_cmp(&b.1));
        let (backend, cost) = best?;
        let why = format!("least cost {cost:.3}");
        Some(Choice { backend: backend.clone(), candidates, why })
    }

    /// Allocates the capacity for a task of `job` on a server.
    pub(crate) fn allocate(&mut self, backend: &Name, job: &Job) {
        if let Some(server) = self.by_server.get_mut(backend) {
            server.free = server.free.minus(job.size);
            server.kinds.push(job.kind.clone());
        }
    }

    /// Returns the server that is expected to have `size` free first, and when, in
    /// Unix milliseconds.
    pub(crate) fn earliest_fit(&self, view: &View<'_>, size: Size) -> Option<(Name, Millis)> {
        let mut ends: BTreeMap<&Name, Vec<(Millis, Size)>> = BTreeMap::new();
        for task in view.table.tasks.values() {
            let Some(backend) = task.backend() else { continue };
            let Some(job) = view.table.job(task) else { continue };
            let remaining = view
                .estimates
                .expected_runtime(&job.kind, job.work)
                .saturating_sub(task.checkpoint);
            ends.entry(backend).or_default().push((task.since + remaining, job.size));
        }
        let mut best: Option<(Name, Millis)> = None;
        for (id, server) in &self.by_server {
            let Some(at) = free_at(server, size, ends.get(id)) else { continue };
            if best.as_ref().is_none_or(|(_, b)| at < *b) {
                best = Some((id.clone(), at));
            }
        }
        best
    }
}

/// Returns when the tasks on a server will have freed enough capacity for `size`,
/// in Unix milliseconds, or `None` if they never will. `ends` has the expected
/// end and the size of each task.
fn free_at(
    server: &ServerCapacity,
    size: Size,
    ends: Option<&Vec<(Millis, Size)>>,
) -> Option<Millis> {
    let mut ends = ends.cloned().unwrap_or_default();
    ends.sort_unstable_by_key(|(at, _)| *at);
    let mut free = server.free;
    for (at, freed) in ends {
        free = free.plus(freed);
        if size.fits(free) {
            return Some(at);
        }
    }
    None
}

/// Returns the cost of running a task of `job` on a server: the interference
/// between the task, its neighbours and the service, as fractions of their times,
/// and a small term for CPU left free, which favours full servers.
fn cost(view: &View<'_>, job: &Job, server: &ServerCapacity) -> f64 {
    let estimates = view.estimates;
    let service_excess = estimates.excess("service", &job.kind);
    let mut cost = 0.0;
    let mut has_noisy = false;
    for kind in &server.kinds {
        cost += estimates.excess(&job.kind, kind) + estimates.excess(kind, &job.kind);
        has_noisy |= estimates.excess("service", kind) > NOISY_EXCESS;
    }
    // Concentrates noisy tasks on few servers, so that requests can use the
    // others without interference.
    if service_excess > NOISY_EXCESS && !has_noisy {
        cost += SERVICE_WEIGHT * service_excess;
    }
    let free = server.free.minus(job.size);
    cost + 0.05 * free.cpu as f64 / server.size.cpu.max(1) as f64
}
